package client

import (
	"encoding/json"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// maxChangeFileBytes bounds what apply reads.
const maxChangeFileBytes = 16 << 20

// Decider is who decides and why, for changes that do not say it themselves.
type Decider struct {
	SetBy, Reason string
	SetAt         time.Time
}

// ParseChangeFile reads a file of changes to many scopes:
//
//	{"reason": "sale weekend", "set_by": "ana",
//	 "scopes": [{"scope": "service/search", "reason": "more searches",
//	             "set": {"retries": 1}, "unset": ["hedge"]}]}
//
// A scope's reason and set_by come before the file's, and those before the
// decider's. All problems are reported in one SettingsInvalid error.
func ParseChangeFile(name string, data []byte, decider Decider) ([]settings.Change, error) {
	var problems strictjson.Problems
	var changes []settings.Change
	if document, ok := strictjson.Parse(data, &problems); ok {
		changes = readChanges(document, decider)
	}
	return changes, joinProblems(problems.Err(name), settings.CheckAll(changes))
}

// joinProblems reports problems of form and of values together.
func joinProblems(form, values error) error {
	if form == nil {
		return values
	}
	if values == nil {
		return form
	}
	return resultcode.New(resultcode.SettingsInvalid, "%s\n  %s", resultcode.From(form).Detail, resultcode.From(values).Detail)
}

func readChanges(document strictjson.Node, decider Decider) []settings.Change {
	object, ok := document.Object("reason", "set_by", "scopes")
	if !ok {
		return nil
	}
	decider.read(object)
	node, ok := object.Require("scopes", "a list of scopes")
	if !ok {
		return nil
	}
	elements, _ := node.List()
	var changes []settings.Change
	for _, element := range elements {
		changes = append(changes, readScopeChanges(element, decider)...)
	}
	return changes
}

func (d *Decider) read(object strictjson.Object) {
	if node, ok := object.Get("reason"); ok {
		d.Reason, _ = node.Text()
	}
	if node, ok := object.Get("set_by"); ok {
		d.SetBy, _ = node.Text()
	}
}

func readScopeChanges(node strictjson.Node, decider Decider) []settings.Change {
	object, ok := node.Object("scope", "reason", "set_by", "set", "unset")
	if !ok {
		return nil
	}
	decider.read(object)
	scope, ok := readScopeName(object)
	if !ok {
		return nil
	}
	var changes []settings.Change
	change := func(field string, value json.RawMessage) {
		changes = append(changes, settings.Change{
			Scope: scope, Field: field, Value: value,
			SetBy: decider.SetBy, Reason: decider.Reason, SetAt: decider.SetAt,
		})
	}
	if set, ok := object.Get("set"); ok {
		values, _ := set.Map()
		for _, field := range values.Names() {
			value, _ := values.Get(field)
			change(field, value.Raw)
		}
	}
	if unset, ok := object.Get("unset"); ok {
		fields, _ := unset.List()
		for _, field := range fields {
			if text, ok := field.Text(); ok {
				change(text, nil)
			}
		}
	}
	return changes
}

func readScopeName(object strictjson.Object) (settings.ScopeName, bool) {
	node, ok := object.Require("scope", "default, region/REGION, service/SERVICE or service/SERVICE/KIND")
	if !ok {
		return settings.ScopeName{}, false
	}
	text, ok := node.Text()
	if !ok {
		return settings.ScopeName{}, false
	}
	name, err := settings.ParseScopeName(text)
	if err != nil {
		node.ReportInvalid("default, region/REGION, service/SERVICE or service/SERVICE/KIND, in lower case")
		return settings.ScopeName{}, false
	}
	return name, true
}
