package client

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

func getCommand() command {
	return command{
		name: "get", args: "[SCOPE [FIELD]]", maxArgs: 2,
		summary: "Shows the overrides of one scope, or of all.",
		examples: []string{
			"mustardwing get",
			"mustardwing get service/search",
			"mustardwing get service/photos/upload max_body -o json",
		},
		register: func(f *flag.FlagSet, o *options, _ string) {
			o.registerCommon(f, defaultTimeout)
			o.registerPlatform(f)
		},
		run: runGet,
	}
}

// OverrideView is one override with its scope and field.
type OverrideView struct {
	Scope  string          `json:"scope"`
	Field  string          `json:"field"`
	Value  json.RawMessage `json:"value"`
	SetBy  string          `json:"set_by"`
	Reason string          `json:"reason"`
	SetAt  time.Time       `json:"set_at"`
}

// ScopeView is one settings object with its overrides.
type ScopeView struct {
	Scope string `json:"scope"`
	// Revision is the store's version of the object.
	Revision  int64          `json:"revision"`
	Overrides []OverrideView `json:"overrides"`
	// Error is set for an invalid object, which nodes refuse.
	Error string `json:"error,omitempty"`
}

// GetResult is the result of get, in the order of the settings tree with invalid objects
// last.
type GetResult struct {
	// Revision is the highest revision in the store or, for a single scope, that of its
	// object.
	Revision int64       `json:"revision"`
	Scopes   []ScopeView `json:"scopes"`
}

func runGet(ctx context.Context, inv *invocation) (output, error) {
	c, err := inv.client()
	if err != nil {
		return nil, err
	}
	if len(inv.args) > 0 {
		return getScope(ctx, c, inv)
	}
	t, err := c.readTree(ctx)
	if err != nil {
		return nil, err
	}
	result := GetResult{Revision: t.revision, Scopes: []ScopeView{}}
	for _, object := range t.sorted() {
		result.Scopes = append(result.Scopes, viewOf(object, "", ""))
	}
	for _, object := range t.invalid {
		result.Scopes = append(result.Scopes, ScopeView{Scope: object.name.String(), Revision: object.version, Overrides: []OverrideView{}, Error: object.err.Detail})
	}
	return result, nil
}

func getScope(ctx context.Context, c *Client, inv *invocation) (output, error) {
	name, err := inv.scopeArg()
	if err != nil {
		return nil, err
	}
	field := ""
	if len(inv.args) > 1 {
		field = inv.args[1]
		if _, ok := settings.LookupField(field); !ok {
			return nil, unknownField(field)
		}
	}
	object, err := c.read(ctx, name)
	if err != nil {
		return nil, err
	}
	view := viewOf(object, name.Kind, field)
	if len(view.Overrides) == 0 {
		return nil, resultcode.New(resultcode.ScopeNotFound, "%s: no override; the values are inherited, see mustardwing explain", strings.TrimSpace(name.String()+" "+field))
	}
	return GetResult{Revision: object.version, Scopes: []ScopeView{view}}, nil
}

func unknownField(field string) error {
	var names []string
	for _, f := range settings.Fields() {
		names = append(names, f.Name)
	}
	return resultcode.New(resultcode.ScopeNotFound, "field %q: want one of %s", field, strings.Join(names, ", "))
}

// sorted returns the objects by level, from default to service, then by name.
func (t tree) sorted() []storedScope {
	return slices.SortedFunc(maps.Values(t.objects), func(a, b storedScope) int {
		if a.name.Level != b.name.Level {
			return int(a.name.Level) - int(b.name.Level)
		}
		return strings.Compare(a.name.Name, b.name.Name)
	})
}

// viewOf returns the overrides of an object, limited to one kind and one field
// where these are not empty.
func viewOf(object storedScope, kind, field string) ScopeView {
	view := ScopeView{Scope: object.name.String(), Revision: object.version, Overrides: []OverrideView{}}
	add := func(scope string, overrides settings.Overrides) {
		for _, f := range settings.Fields() {
			o, ok := overrides[f.Name]
			if !ok || (field != "" && field != f.Name) {
				continue
			}
			view.Overrides = append(view.Overrides, OverrideView{scope, f.Name, o.Value, o.SetBy, o.Reason, o.SetAt})
		}
	}
	if kind == "" {
		add(object.name.String(), object.scope.Overrides)
	}
	for _, k := range object.scope.Kinds {
		if kind == "" || kind == k.Name {
			add(object.name.String()+"/"+k.Name, k.Overrides)
		}
	}
	return view
}

func (r GetResult) text(w io.Writer) {
	t := newTable(w)
	t.row("SCOPE", "FIELD", "VALUE", "SET BY", "SET AT", "REASON")
	for _, scope := range r.Scopes {
		for _, o := range scope.Overrides {
			t.row(o.Scope, o.Field, settings.FormatText(o.Value), o.SetBy, formatTime(o.SetAt), o.Reason)
		}
	}
	t.flush()
	for _, scope := range r.Scopes {
		if scope.Error != "" {
			fmt.Fprintf(w, "%s: refused by the nodes: %s\n", scope.Scope, scope.Error)
		}
	}
	fmt.Fprintf(w, "revision %d\n", r.Revision)
}
