package client

import (
	"encoding/json"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// maxChangeFileBytes bounds the size of a change file.
const maxChangeFileBytes = 16 << 20

// Attribution is the author, reason and time of changes that do not give their
// own.
type Attribution struct {
	SetBy, Reason string
	SetAt         time.Time
}

// ParseChangeFile reads a file of changes to many scopes:
//
//	{"reason": "sale weekend", "set_by": "ana",
//	 "scopes": [{"scope": "service/search", "reason": "more searches",
//	             "set": {"retries": 1}, "unset": ["hedge"]}]}
//
// A scope's reason and set_by take precedence over the file's, and those over defaults.
// All problems are reported in one SettingsInvalid error, with which the returned changes
// must not be used.
func ParseChangeFile(name string, data []byte, defaults Attribution) ([]settings.Change, error) {
	var problems strictjson.Problems
	var changes []settings.Change
	if document, ok := strictjson.Parse(data, &problems); ok {
		changes = readChanges(document, defaults)
	}
	return changes, joinProblems(problems.Err(name), settings.CheckAll(changes))
}

// joinProblems combines the problems of the file's form and of its values in one
// error; nil when there are neither.
func joinProblems(form, values error) error {
	if form == nil {
		return values
	}
	if values == nil {
		return form
	}
	return resultcode.New(resultcode.SettingsInvalid, "%s\n  %s", resultcode.From(form).Detail, resultcode.From(values).Detail)
}

func readChanges(document strictjson.Node, attribution Attribution) []settings.Change {
	object, ok := document.Object("reason", "set_by", "scopes")
	if !ok {
		return nil
	}
	attribution.readFrom(object)
	node, ok := object.Require("scopes", "a list of scopes")
	if !ok {
		return nil
	}
	elements, _ := node.List()
	var changes []settings.Change
	for _, element := range elements {
		changes = append(changes, readScopeChanges(element, attribution)...)
	}
	return changes
}

// readFrom replaces the reason and the author by those of the object, where given.
func (a *Attribution) readFrom(object strictjson.Object) {
	if node, ok := object.Get("reason"); ok {
		a.Reason, _ = node.Text()
	}
	if node, ok := object.Get("set_by"); ok {
		a.SetBy, _ = node.Text()
	}
}

func readScopeChanges(node strictjson.Node, attribution Attribution) []settings.Change {
	object, ok := node.Object("scope", "reason", "set_by", "set", "unset")
	if !ok {
		return nil
	}
	attribution.readFrom(object)
	scope, ok := readScopeName(object)
	if !ok {
		return nil
	}
	var changes []settings.Change
	add := func(field string, value json.RawMessage) {
		changes = append(changes, settings.Change{
			Scope: scope, Field: field, Value: value,
			SetBy: attribution.SetBy, Reason: attribution.Reason, SetAt: attribution.SetAt,
		})
	}
	if set, ok := object.Get("set"); ok {
		values, _ := set.Map()
		for _, field := range values.Names() {
			value, _ := values.Get(field)
			add(field, value.Raw)
		}
	}
	if unset, ok := object.Get("unset"); ok {
		fields, _ := unset.List()
		for _, field := range fields {
			if text, ok := field.Text(); ok {
				add(text, nil)
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
