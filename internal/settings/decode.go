package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// Decode parses and validates the settings object of a scope. It reports all
// problems in one SettingsInvalid error that names the object. An empty value
// decodes to a scope without overrides.
func Decode(name ScopeName, value []byte) (*Scope, error) {
	if len(value) == 0 {
		return &Scope{Overrides: Overrides{}}, nil
	}
	if err := checkSize(name, len(value)); err != nil {
		return nil, err
	}
	var problems strictjson.Problems
	scope := &Scope{Overrides: Overrides{}}
	if document, ok := strictjson.Parse(value, &problems); ok {
		scope.read(document, name.ObjectScope().Level)
	}
	if err := problems.Err("object " + name.Key()); err != nil {
		return nil, err
	}
	return scope, nil
}

// Encode returns the JSON of a scope's settings object. It returns a
// SettingsInvalid error for a scope that is too large or that Decode would not
// accept.
func Encode(name ScopeName, scope *Scope) ([]byte, error) {
	value, err := json.Marshal(scope)
	if err != nil {
		return nil, resultcode.Wrap(err, resultcode.SettingsInvalid, "object %s: want JSON values", name.Key())
	}
	if _, err := Decode(name, value); err != nil {
		return nil, err
	}
	return value, nil
}

func checkSize(name ScopeName, size int) error {
	if size <= MaxScopeBytes {
		return nil
	}
	return resultcode.New(resultcode.SettingsInvalid,
		"object %s: %d bytes: want at most %d; remove kinds or shorten reasons", name.Key(), size, MaxScopeBytes)
}

// read fills the scope from the members of its object. It records problems and
// continues, so that one pass finds all of them.
func (s *Scope) read(document strictjson.Node, level Level) {
	object, ok := document.Object("write_ids", "overrides", "kinds", "history")
	if !ok {
		return
	}
	if node, ok := object.Get("write_ids"); ok {
		s.WriteIDs = readWriteIDs(node)
	}
	if node, ok := object.Require("overrides", "an object of overrides by field name"); ok {
		s.Overrides = readOverrides(node, level)
	}
	if node, ok := object.Get("kinds"); ok {
		s.Kinds = readKinds(node, level)
	}
	if node, ok := object.Get("history"); ok {
		s.History = readHistory(node)
	}
}

func readWriteIDs(node strictjson.Node) []string {
	elements, ok := node.List()
	if !ok {
		return nil
	}
	if len(elements) > maxWriteIDs {
		node.ReportInvalid(fmt.Sprintf("at most %d write ids", maxWriteIDs))
	}
	var ids []string
	for _, element := range elements {
		ids = append(ids, readText(element, maxWriteIDBytes))
	}
	return ids
}

func readKinds(node strictjson.Node, level Level) []Kind {
	elements, ok := node.List()
	if !ok {
		return nil
	}
	if level != LevelService || len(elements) > MaxKinds {
		node.ReportInvalid(fmt.Sprintf("kinds only in a service, at most %d", MaxKinds))
		return nil
	}
	var kinds []Kind
	seen := make(map[string]bool)
	for _, element := range elements {
		kind := readKind(element)
		if seen[kind.Name] {
			element.ReportInvalid("each kind once")
		}
		seen[kind.Name] = true
		kinds = append(kinds, kind)
	}
	return kinds
}

func readKind(node strictjson.Node) Kind {
	var kind Kind
	object, ok := node.Object("name", "overrides")
	if !ok {
		return kind
	}
	if name, ok := object.Require("name", wantName); ok {
		kind.Name, ok = name.Text()
		if ok && !namePattern.MatchString(kind.Name) {
			name.ReportInvalid(wantName)
		}
	}
	overrides, ok := object.Require("overrides", "an object of overrides by field name")
	if !ok {
		return kind
	}
	kind.Overrides = readOverrides(overrides, LevelKind)
	if _, given := kind.Overrides["match"]; given && kind.Name == call.DefaultKind {
		overrides.ReportInvalid("no match list, since kind default takes the calls that match no other kind")
	}
	return kind
}

func readOverrides(node strictjson.Node, level Level) Overrides {
	overrides := Overrides{}
	object, ok := node.Map()
	if !ok {
		return overrides
	}
	for _, name := range object.Names() {
		member, _ := object.Get(name)
		overrides[name] = readOverride(member, name, level)
	}
	return overrides
}

func readOverride(node strictjson.Node, name string, level Level) Override {
	var override Override
	if _, known := LookupField(name); !known {
		node.Report("unknown field", "one of "+fieldNames())
	}
	object, ok := node.Object("value", "set_by", "reason", "set_at")
	if !ok {
		return override
	}
	if value, ok := object.Require("value", "the field's value"); ok {
		checkValue(value, name, level)
		override.Value = value.Raw
	}
	override.SetBy, override.Reason, override.SetAt = readDecision(object)
	return override
}

// checkValue records a problem when the field is not allowed at the level or does not
// accept the value.
func checkValue(value strictjson.Node, name string, level Level) {
	field, ok := LookupField(name)
	if !ok {
		return
	}
	if field.Levels&level == 0 {
		value.Report("given at level "+level.String(), name+" only at level "+field.Levels.String())
		return
	}
	field.read(value, &overlay{})
}

// readDecision reads who set or unset a field, why and when.
func readDecision(object strictjson.Object) (setBy, reason string, setAt time.Time) {
	if node, ok := object.Require("set_by", "who decided"); ok {
		setBy = readText(node, MaxSetByBytes)
	}
	if node, ok := object.Require("reason", "why it was decided"); ok {
		reason = readText(node, MaxReasonBytes)
	}
	if node, ok := object.Require("set_at", wantTime); ok {
		setAt = readTime(node)
	}
	return setBy, reason, setAt
}

const wantTime = `a time in UTC such as "2026-03-01T09:30:00Z"`

func readTime(node strictjson.Node) time.Time {
	text, ok := node.Text()
	if !ok {
		return time.Time{}
	}
	value, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || text[len(text)-1] != 'Z' {
		node.ReportInvalid(wantTime)
	}
	return value
}

func readText(node strictjson.Node, maxBytes int) string {
	text, ok := node.Text()
	if ok && (!hasText(text) || len(text) > maxBytes) {
		node.ReportInvalid(fmt.Sprintf("1 to %d bytes of text", maxBytes))
	}
	return text
}

// overlay parses overrides that have passed validation. It leaves out a field that it
// does not know or whose value is not accepted.
func (o Overrides) overlay() *overlay {
	layer := &overlay{}
	var problems strictjson.Problems
	for name, override := range o {
		field, ok := LookupField(name)
		if !ok {
			continue
		}
		node, ok := strictjson.Parse(override.Value, &problems)
		if ok && field.read(node, layer) {
			layer.markSet(field.id)
		}
	}
	return layer
}
