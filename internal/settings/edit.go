package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Change sets or unsets one field of a scope.
type Change struct {
	Scope ScopeName
	Field string
	// Value is the new value in JSON; nil unsets the field.
	Value json.RawMessage
	// SetBy, Reason and SetAt are recorded with the change: who decided, why and
	// when. SetBy and Reason are mandatory.
	SetBy, Reason string
	SetAt         time.Time
}

// String describes the change in messages and on the command line.
func (c Change) String() string {
	if c.Value == nil {
		return fmt.Sprintf("%s: unset %s", c.Scope, c.Field)
	}
	return fmt.Sprintf("%s: %s = %s", c.Scope, c.Field, FormatText(c.Value))
}

// Check returns a SettingsInvalid error for a change whose reason or author is missing
// or too long, or whose field or value is not accepted at the level of its scope. The
// error lists all problems of the change.
func (c Change) Check() error {
	return CheckAll([]Change{c})
}

// CheckAll checks each change and that no field is changed twice. It reports all
// problems in one SettingsInvalid error.
func CheckAll(changes []Change) error {
	var details []string
	seen := make(map[string]bool)
	for _, c := range changes {
		target := c.Scope.String() + " " + c.Field
		if seen[target] {
			details = append(details, fmt.Sprintf("%s: field %s given twice: want each field once", c.Scope, c.Field))
		}
		seen[target] = true
		details = append(details, c.problems()...)
	}
	switch len(details) {
	case 0:
		return nil
	case 1:
		return resultcode.New(resultcode.SettingsInvalid, "%s", details[0])
	}
	return resultcode.New(resultcode.SettingsInvalid, "%d problems\n  %s", len(details), strings.Join(details, "\n  "))
}

func (c Change) problems() []string {
	var details []string
	if !hasText(c.Reason) || len(c.Reason) > MaxReasonBytes {
		details = append(details, fmt.Sprintf("%s: reason %q: want 1 to %d bytes of text", c, c.Reason, MaxReasonBytes))
	}
	if !hasText(c.SetBy) || len(c.SetBy) > MaxSetByBytes {
		details = append(details, fmt.Sprintf("%s: author %q: want 1 to %d bytes of text", c, c.SetBy, MaxSetByBytes))
	}
	if err := c.checkField(); err != nil {
		details = append(details, resultcode.From(err).Detail)
	}
	return details
}

// checkField checks the field's name, level and value, and only the name of a field
// to unset. It does not check the author and the reason, for which it substitutes
// valid ones.
func (c Change) checkField() error {
	if _, ok := LookupField(c.Field); c.Value == nil && !ok {
		return resultcode.New(resultcode.SettingsInvalid, "%s: unknown field %q: want one of %s", c.Scope, c.Field, fieldNames())
	}
	if c.Value == nil {
		return nil
	}
	complete := c
	complete.SetBy, complete.Reason = "check", "check"
	scope := &Scope{Overrides: Overrides{}}
	scope.setOverride(c.Scope.Kind, c.Field, complete.override())
	_, err := Encode(c.Scope, scope)
	return err
}

func (c Change) override() Override {
	return Override{Value: c.Value, SetBy: c.SetBy, Reason: c.Reason, SetAt: c.SetAt.UTC()}
}

// HasEffect reports whether the change would alter the field's value in scope, or
// set or unset its override there. A new author or reason for the same value is no effect.
func (c Change) HasEffect(scope *Scope) bool {
	current, given := scope.OverridesFor(c.Scope.Kind)[c.Field]
	if c.Value == nil || !given {
		return given || c.Value != nil
	}
	return !sameJSON(current.Value, c.Value)
}

// WithChanges returns a copy of the scope with the changes applied. The write id
// goes to the front of WriteIDs. The overrides that are replaced or removed go into the
// history, and each removal adds a record of its own there.
func (s *Scope) WithChanges(writeID string, changes []Change) *Scope {
	next := s.clone()
	ids := append([]string{writeID}, s.WriteIDs...)
	next.WriteIDs = ids[:min(len(ids), maxWriteIDs)]
	for _, change := range changes {
		next.applyChange(change)
	}
	return next
}

func (s *Scope) applyChange(c Change) {
	kind := c.Scope.Kind
	previous, given := s.OverridesFor(kind)[c.Field]
	if given {
		s.appendHistory(previous.toRecord(kind, c.Field))
	}
	if c.Value != nil {
		s.setOverride(kind, c.Field, c.override())
		return
	}
	if given {
		s.unsetOverride(kind, c.Field)
		s.appendHistory(Record{Kind: kind, Field: c.Field, Unset: true, SetBy: c.SetBy, Reason: c.Reason, SetAt: c.SetAt.UTC()})
	}
}

func (s *Scope) setOverride(kind, field string, override Override) {
	if kind == "" {
		s.Overrides[field] = override
		return
	}
	for i := range s.Kinds {
		if s.Kinds[i].Name == kind {
			s.Kinds[i].Overrides[field] = override
			return
		}
	}
	s.Kinds = append(s.Kinds, Kind{Name: kind, Overrides: Overrides{field: override}})
}

// unsetOverride removes an override. It removes the kind too when the kind has no
// other override.
func (s *Scope) unsetOverride(kind, field string) {
	delete(s.OverridesFor(kind), field)
	for i := range s.Kinds {
		if s.Kinds[i].Name == kind && len(s.Kinds[i].Overrides) == 0 {
			s.Kinds = append(s.Kinds[:i], s.Kinds[i+1:]...)
			return
		}
	}
}

func (s *Scope) clone() *Scope {
	next := &Scope{
		WriteIDs:  append([]string(nil), s.WriteIDs...),
		Overrides: s.Overrides.clone(),
		History:   append([]Record(nil), s.History...),
	}
	for _, kind := range s.Kinds {
		next.Kinds = append(next.Kinds, Kind{Name: kind.Name, Overrides: kind.Overrides.clone()})
	}
	return next
}

func (o Overrides) clone() Overrides {
	next := make(Overrides, len(o))
	for name, override := range o {
		next[name] = override
	}
	return next
}

// Same reports whether two overrides have the same value, author, reason and time.
// Values that differ only in white space are the same.
func (o Override) Same(other Override) bool {
	return o.SetBy == other.SetBy && o.Reason == other.Reason && o.SetAt.Equal(other.SetAt) && sameJSON(o.Value, other.Value)
}

// sameJSON compares two JSON texts without their insignificant white space.
func sameJSON(a, b json.RawMessage) bool {
	var left, right bytes.Buffer
	if json.Compact(&left, a) != nil || json.Compact(&right, b) != nil {
		return bytes.Equal(a, b)
	}
	return bytes.Equal(left.Bytes(), right.Bytes())
}
