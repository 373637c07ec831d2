package client

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

func historyCommand() command {
	return command{
		name: "history", args: "SCOPE [FIELD]", minArgs: 1, maxArgs: 2,
		summary: "Shows who set what in a scope, when and why, newest first.",
		examples: []string{
			"mustardwing history service/search",
			"mustardwing history service/photos/upload max_body",
		},
		register: func(f *flag.FlagSet, o *options, _ string) {
			o.registerCommon(f, defaultTimeout)
			o.registerPlatform(f)
		},
		run: runHistory,
	}
}

// HistoryRecord is one recorded decision about a field.
type HistoryRecord struct {
	Scope string `json:"scope"`
	Field string `json:"field"`
	// Value is absent for a removed override.
	Value  json.RawMessage `json:"value,omitempty"`
	Unset  bool            `json:"unset,omitempty"`
	SetBy  string          `json:"set_by"`
	Reason string          `json:"reason"`
	SetAt  time.Time       `json:"set_at"`
	// InForce marks the override that the stored object holds now; nodes may still use an
	// earlier one.
	InForce bool `json:"in_force"`
}

// HistoryResult is the result of history: decisions, newest first.
type HistoryResult struct {
	Records []HistoryRecord `json:"entries"`
}

func runHistory(ctx context.Context, inv *invocation) (output, error) {
	name, err := inv.scopeArg()
	if err != nil {
		return nil, err
	}
	fields := settings.Fields()
	if len(inv.args) > 1 {
		field, ok := settings.LookupField(inv.args[1])
		if !ok {
			return nil, unknownField(inv.args[1])
		}
		fields = []settings.Field{field}
	}
	c, err := inv.client()
	if err != nil {
		return nil, err
	}
	object, err := c.read(ctx, name)
	if err != nil {
		return nil, err
	}
	result := historyOf(object.scope, name, fields)
	if len(result.Records) == 0 {
		return nil, resultcode.New(resultcode.ScopeNotFound, "%s: nothing was ever set there", name)
	}
	return result, nil
}

// historyOf returns the decisions in a scope. For a service it includes those of
// its kinds, also of removed ones.
func historyOf(scope *settings.Scope, name settings.ScopeName, fields []settings.Field) HistoryResult {
	kinds := []string{name.Kind}
	if name.Kind == "" {
		for _, k := range scope.Kinds {
			kinds = append(kinds, k.Name)
		}
		for _, r := range scope.History {
			kinds = append(kinds, r.Kind)
		}
		slices.Sort(kinds)
		kinds = slices.Compact(kinds)
	}
	result := HistoryResult{Records: []HistoryRecord{}}
	for _, kind := range kinds {
		for _, field := range fields {
			result.add(scope, name, kind, field.Name)
		}
	}
	slices.SortStableFunc(result.Records, func(a, b HistoryRecord) int { return b.SetAt.Compare(a.SetAt) })
	return result
}

// add appends the decisions about one field, newest first. An empty kind stands for the
// fields of the scope itself.
func (r *HistoryResult) add(scope *settings.Scope, name settings.ScopeName, kind, field string) {
	fullName := name.ObjectScope().String()
	if kind != "" {
		fullName += "/" + kind
	}
	records := scope.HistoryOf(kind, field)
	_, isSet := scope.OverridesFor(kind)[field]
	for i := len(records) - 1; i >= 0; i-- {
		record := records[i]
		r.Records = append(r.Records, HistoryRecord{
			Scope: fullName, Field: field, Value: record.Value, Unset: record.Unset,
			SetBy: record.SetBy, Reason: record.Reason, SetAt: record.SetAt,
			InForce: isSet && i == len(records)-1,
		})
	}
}

func (r HistoryResult) text(w io.Writer) {
	t := newTable(w)
	t.row("SET AT", "SCOPE", "FIELD", "VALUE", "SET BY", "REASON", "")
	for _, e := range r.Records {
		value, mark := settings.FormatText(e.Value), ""
		if e.Unset {
			value = "(unset)"
		}
		if e.InForce {
			mark = "present"
		}
		t.row(formatTime(e.SetAt), e.Scope, e.Field, value, e.SetBy, e.Reason, mark)
	}
	t.flush()
}
