package client

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

func explainCommand() command {
	return command{
		name: "explain", args: "[-region R] [-service S] [-kind K | -method M -path P]",
		summary: "Shows the values for one path: which level gave each, by whom, when and why.",
		examples: []string{
			"mustardwing explain -region ro -service search",
			"mustardwing explain -region ro -service photos -kind upload",
			"mustardwing explain -region ro -service photos -method POST -path /photos/17",
		},
		register: func(f *flag.FlagSet, o *options, _ string) {
			o.registerCommon(f, defaultTimeout)
			o.registerPlatform(f)
			o.registerPath(f)
		},
		run: runExplain,
	}
}

// ExplainResult is the result of explain: where each value of a path comes from.
type ExplainResult struct {
	Revision int64          `json:"revision"`
	Region   string         `json:"region"`
	Service  string         `json:"service"`
	Kind     string         `json:"kind"`
	Fields   []FieldOrigins `json:"fields"`
}

// FieldOrigins is the value that the settings in the store give to one field, the
// override that sets the value, and the overrides that this override hides.
type FieldOrigins struct {
	Field string          `json:"field"`
	Value json.RawMessage `json:"value"`
	// From is the scope whose override gives the value, or "built-in". SetBy, SetAt and
	// Reason are those of the override; SetAt is nil for a built-in default.
	From   string     `json:"from"`
	SetBy  string     `json:"set_by,omitempty"`
	SetAt  *time.Time `json:"set_at,omitempty"`
	Reason string     `json:"reason,omitempty"`
	// Hidden lists the overrides of higher levels that the override hides, lowest level
	// first.
	Hidden []OverrideView `json:"hidden,omitempty"`
}

func runExplain(ctx context.Context, inv *invocation) (output, error) {
	o := inv.options
	if o.kind != "" && (o.method != "" || o.path != "") {
		return nil, resultcode.New(resultcode.Usage, "-kind %q with -method or -path: want either the kind or the call", o.kind)
	}
	if (o.method == "") != (o.path == "") {
		return nil, resultcode.New(resultcode.Usage, "-method %q -path %q: want both or neither", o.method, o.path)
	}
	if (o.kind != "" || o.path != "") && o.service == "" {
		return nil, resultcode.New(resultcode.Usage, "-service is missing: want the service of the kind or call")
	}
	if err := checkNames(o.region, o.service, o.kind); err != nil {
		return nil, err
	}
	c, err := inv.client()
	if err != nil {
		return nil, err
	}
	t, err := c.readTree(ctx)
	if err != nil {
		return nil, err
	}
	path := settings.Path{Region: o.region, Service: o.service, Kind: o.kind}
	if err := t.checkReadable(path); err != nil {
		return nil, err
	}
	if o.path != "" {
		path.Kind = t.scopes().Tree().MatchKind(o.service, o.method, o.path)
		if path.Kind == "" {
			path.Kind = call.DefaultKind
		}
	}
	return explain(t, path), nil
}

// checkNames returns a usage error for the first name that is not valid. It accepts an
// empty name.
func checkNames(names ...string) error {
	for _, name := range names {
		if name == "" {
			continue
		}
		if _, err := settings.ParseScopeName("service/" + name); err != nil {
			return resultcode.New(resultcode.Usage, "name %q: want 1 to 63 characters of a-z, 0-9 and -, starting with a letter", name)
		}
	}
	return nil
}

// checkReadable returns the error of an invalid object on the path, or nil if all are
// valid. Nodes refuse an invalid object, and each node keeps in force the last valid state
// that it received, so the store does not show which values are in force.
func (t tree) checkReadable(path settings.Path) error {
	names := []settings.ScopeName{{Level: settings.LevelDefault}}
	names = append(names, settings.ScopeName{Level: settings.LevelRegion, Name: path.Region})
	names = append(names, settings.ScopeName{Level: settings.LevelService, Name: path.Service})
	for _, name := range names {
		if _, err := t.object(name); err != nil {
			return err
		}
	}
	return nil
}

func explain(t tree, path settings.Path) ExplainResult {
	result := ExplainResult{Revision: t.revision, Region: path.Region, Service: path.Service, Kind: path.Kind}
	for _, e := range t.scopes().Explain(path) {
		origins := FieldOrigins{Field: e.Field, Value: e.Value, From: "built-in"}
		if e.Override != nil {
			at := e.Override.SetAt
			origins.From, origins.SetBy, origins.SetAt, origins.Reason = e.From, e.Override.SetBy, &at, e.Override.Reason
		}
		for _, h := range e.Hidden {
			origins.Hidden = append(origins.Hidden, OverrideView{h.Scope, e.Field, h.Value, h.SetBy, h.Reason, h.SetAt})
		}
		result.Fields = append(result.Fields, origins)
	}
	return result
}

func (r ExplainResult) text(w io.Writer) {
	fmt.Fprintf(w, "region %s, service %s, kind %s, at revision %d\n\n", orAny(r.Region), orAny(r.Service), orAny(r.Kind), r.Revision)
	t := newTable(w)
	t.row("FIELD", "VALUE", "FROM", "SET BY", "SET AT", "REASON")
	for _, f := range r.Fields {
		at := ""
		if f.SetAt != nil {
			at = formatTime(*f.SetAt)
		}
		t.row(f.Field, settings.FormatText(f.Value), f.From, f.SetBy, at, f.Reason)
		for _, h := range f.Hidden {
			t.row("", "("+settings.FormatText(h.Value)+")", h.Scope, h.SetBy, formatTime(h.SetAt), h.Reason)
		}
	}
	t.flush()
	fmt.Fprintln(w, "\nValues in parentheses are hidden by an override at a lower level.")
}

func orAny(name string) string {
	if name == "" {
		return "any"
	}
	return name
}
