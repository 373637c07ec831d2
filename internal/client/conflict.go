package client

import (
	"fmt"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// ConflictError is the error of an edit whose fields another operator changed first, or
// whose object is not at the version that -if-version gives. It shows what each of the
// two operators chose.
type ConflictError struct {
	// Scope is the scope of the object that was not written.
	Scope string `json:"scope"`
	// SeenVersion is the version of the object that the edit started from, or the one
	// that -if-version gives; Version is the current one.
	SeenVersion int64           `json:"seen_version"`
	Version     int64           `json:"version"`
	Fields      []ConflictField `json:"fields"`
}

// ConflictField shows what each of the two operators chose for one field.
type ConflictField struct {
	Scope string `json:"scope"`
	Field string `json:"field"`
	// Yours is the decision of the edit that failed, Theirs the latest in the store.
	Yours  Decision `json:"yours"`
	Theirs Decision `json:"theirs"`
}

// Decision is the value that one operator chose, with its author, reason and time.
type Decision struct {
	// Value is empty where the field is inherited.
	Value string `json:"value,omitempty"`
	// SetBy is empty when the field was never set.
	SetBy  string    `json:"set_by"`
	Reason string    `json:"reason"`
	SetAt  time.Time `json:"set_at"`
}

// String returns the decision in one line.
func (d Decision) String() string {
	if d.SetBy == "" {
		return orInherited(d.Value)
	}
	return fmt.Sprintf("%s (%s, %s: %s)", orInherited(d.Value), d.SetBy, formatTime(d.SetAt), d.Reason)
}

// addField adds a field of the edit, with its latest decision in the current scope.
func (c *ConflictError) addField(change settings.Change, current *settings.Scope) {
	field := ConflictField{
		Scope: change.Scope.String(), Field: change.Field,
		Yours: Decision{SetBy: change.SetBy, Reason: change.Reason, SetAt: change.SetAt.UTC()},
	}
	if change.Value != nil {
		field.Yours.Value = settings.FormatText(change.Value)
	}
	records := current.HistoryOf(change.Scope.Kind, change.Field)
	if len(records) > 0 {
		field.Theirs = decisionOf(records[len(records)-1])
	}
	c.Fields = append(c.Fields, field)
}

func decisionOf(r settings.Record) Decision {
	d := Decision{SetBy: r.SetBy, Reason: r.Reason, SetAt: r.SetAt}
	if !r.Unset {
		d.Value = settings.FormatText(r.Value)
	}
	return d
}

// Error implements error.
func (c *ConflictError) Error() string {
	return c.resultError().Error()
}

// Unwrap returns the error with its result code.
func (c *ConflictError) Unwrap() error {
	return c.resultError()
}

// resultError returns the conflict as an error with result code SettingsConflict, whose
// detail shows each field on lines of its own.
func (c *ConflictError) resultError() *resultcode.Error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s is at version %d, this edit started from version %d; nothing was written there", c.Scope, c.Version, c.SeenVersion)
	for _, f := range c.Fields {
		fmt.Fprintf(&text, "\n  %s %s\n    yours:  %s\n    theirs: %s", f.Scope, f.Field, f.Yours, f.Theirs)
	}
	return resultcode.New(resultcode.SettingsConflict, "%s", text.String())
}

func formatTime(t time.Time) string {
	return t.UTC().Format("2006-01-02 15:04:05 UTC")
}
