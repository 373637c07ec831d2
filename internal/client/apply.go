package client

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

func applyCommand() command {
	return command{
		name: "apply", args: "FILE", minArgs: 1, maxArgs: 1,
		summary: "Sets and unsets overrides of many scopes from a JSON file. Nothing is written when a value is refused.",
		examples: []string{
			`mustardwing apply sale.json -reason "sale weekend"`,
			`mustardwing apply - < sale.json`,
			`mustardwing apply -replace-invalid repair.json -reason "object was written by hand"`,
		},
		register: func(f *flag.FlagSet, o *options, user string) {
			o.registerCommon(f, defaultTimeout)
			o.registerPlatform(f)
			o.registerAttribution(f, user)
			f.BoolVar(&o.replaceInvalid, "replace-invalid", false, "replace objects that cannot be read; their content is lost")
		},
		run: runApply,
	}
}

func diffCommand() command {
	return command{
		name: "diff", args: "FILE", minArgs: 1, maxArgs: 1,
		summary: "Shows what apply would change. Nothing is written.",
		examples: []string{
			"mustardwing diff sale.json",
			"mustardwing diff sale.json -o json",
		},
		register: func(f *flag.FlagSet, o *options, user string) {
			o.registerCommon(f, defaultTimeout)
			o.registerPlatform(f)
			o.registerAttribution(f, user)
			f.BoolVar(&o.replaceInvalid, "replace-invalid", false, "as apply would")
		},
		run: runDiff,
	}
}

func runApply(ctx context.Context, inv *invocation) (output, error) {
	changes, err := inv.readChangeFile(inv.args[0])
	if err != nil {
		return nil, err
	}
	c, err := inv.client()
	if err != nil {
		return nil, err
	}
	p, err := c.plan(ctx, changes, inv.options.replaceInvalid)
	if err != nil {
		return nil, err
	}
	written, err := c.execute(ctx, p)
	if err != nil {
		return nil, err
	}
	return EditResult{Written: append([]Written{}, written...), Unchanged: p.unchanged}, nil
}

// DiffResult is the result of diff: what apply would change.
type DiffResult struct {
	Changes []ChangeResult `json:"changes"`
	// Unchanged counts the changes that apply would leave out because they would
	// change no field of the stored objects.
	Unchanged int `json:"unchanged"`
}

func runDiff(ctx context.Context, inv *invocation) (output, error) {
	// diff needs neither a reason nor an author; apply refuses a file without them.
	inv.options.reason = cmp.Or(inv.options.reason, "diff")
	inv.options.by = cmp.Or(inv.options.by, "diff")
	changes, err := inv.readChangeFile(inv.args[0])
	if err != nil {
		return nil, err
	}
	c, err := inv.client()
	if err != nil {
		return nil, err
	}
	p, err := c.plan(ctx, changes, inv.options.replaceInvalid)
	if err != nil {
		return nil, err
	}
	result := DiffResult{Changes: []ChangeResult{}, Unchanged: p.unchanged}
	for _, s := range p.steps {
		result.Changes = append(result.Changes, changeResults(s.object.scope, s.changes)...)
	}
	return result, nil
}

func (inv *invocation) readChangeFile(path string) ([]settings.Change, error) {
	data, err := inv.app.ReadFile(path, maxChangeFileBytes)
	if err != nil {
		return nil, resultcode.New(resultcode.Usage, "file %q: %s: want a readable file of at most %d bytes", path, err, maxChangeFileBytes)
	}
	return ParseChangeFile(path, data, inv.options.attribution(inv.app.Now()))
}

func (r DiffResult) text(w io.Writer) {
	for _, change := range r.Changes {
		fmt.Fprintln(w, change)
	}
	fmt.Fprintf(w, "%d to change, %d in force already\n", len(r.Changes), r.Unchanged)
}
