package client

import (
	"fmt"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Conflict is the error of an edit whose fields another operator changed first.
// It shows both versions.
type Conflict struct {
	Scope string `json:"scope"`
	// SeenVersion is the version that the edit started from, Version the current
	// one.
	SeenVersion int64           `json:"seen_version"`
	Version     int64           `json:"version"`
	Fields      []ConflictField `json:"fields"`
}

// ConflictField shows one field in both versions.
type ConflictField struct {
	Scope  string   `json:"scope"`
	Field  string   `json:"field"`
	Yours  Decision `json:"yours"`
	Theirs Decision `json:"theirs"`
}

// Decision is the value that one side chose, with its author, reason and time.
type Decision struct {
	// Value is empty where the field is inherited.
	Value  string    `json:"value,omitempty"`
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

func (c *Conflict) addField(change settings.Change, current *settings.Scope) {
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
func (c *Conflict) Error() string {
	return c.coded().Error()
}

// Unwrap returns the error with its result code.
func (c *Conflict) Unwrap() error {
	return c.coded()
}

func (c *Conflict) coded() *resultcode.Error {
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
