package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// anyVersion is the default of -if-version, with which the object may have any version.
// The version of an object is what get shows as its revision.
const anyVersion = -1

func setCommand() command {
	return command{
		name: "set", args: "SCOPE FIELD=VALUE... -reason TEXT", minArgs: 2, maxArgs: -1,
		summary: "Sets overrides of one scope. A reason is mandatory and is kept with them.",
		examples: []string{
			`mustardwing set default timeout=5s -reason "pages give up after 5 s anyway"`,
			`mustardwing set service/photos/upload match="POST /photos, PUT /photos" max_body=256MiB -reason "photo sets of dealers"`,
			`mustardwing set service/payments/promotion priority=critical idempotent=no -reason "a promotion must not be charged twice"`,
		},
		register: registerEditFlags,
		run:      runSet,
	}
}

func unsetCommand() command {
	return command{
		name: "unset", args: "SCOPE FIELD... -reason TEXT", minArgs: 2, maxArgs: -1,
		summary: "Removes overrides of one scope, which inherits again. A reason is mandatory.",
		examples: []string{
			`mustardwing unset service/search queue_timeout -reason "sale is over"`,
		},
		register: registerEditFlags,
		run:      runUnset,
	}
}

func registerEditFlags(f *flag.FlagSet, o *options, user string) {
	o.registerCommon(f, defaultTimeout)
	o.registerPlatform(f)
	o.registerAttribution(f, user)
	f.Int64Var(&o.ifVersion, "if-version", anyVersion, "write only if the scope's object is at this `revision`, as shown by get; 0 for a new one")
}

// EditResult is the result of set, unset and apply.
type EditResult struct {
	Written []Written `json:"written"`
	// Unchanged counts the changes of a file that were left out because they would
	// change no field of the stored objects.
	Unchanged int `json:"unchanged"`
}

func runSet(ctx context.Context, inv *invocation) (output, error) {
	return inv.editScope(ctx, func(c *settings.Change, arg string) error {
		name, text, ok := strings.Cut(arg, "=")
		field, known := settings.LookupField(name)
		if !ok {
			return resultcode.New(resultcode.Usage, "argument %q: want FIELD=VALUE", arg)
		}
		if !known {
			return resultcode.New(resultcode.SettingsInvalid, "%s", resultcode.From(unknownField(name)).Detail)
		}
		c.Field, c.Value = name, field.FromText(text)
		return nil
	})
}

func runUnset(ctx context.Context, inv *invocation) (output, error) {
	return inv.editScope(ctx, func(c *settings.Change, arg string) error {
		c.Field = arg
		return nil
	})
}

// editScope writes one change for each argument after the scope. fill sets the field
// and the value of a change from its argument.
func (inv *invocation) editScope(ctx context.Context, fill func(*settings.Change, string) error) (output, error) {
	name, err := inv.scopeArg()
	if err != nil {
		return nil, err
	}
	attribution := inv.options.attribution(inv.app.Now())
	if strings.TrimSpace(attribution.Reason) == "" {
		return nil, resultcode.New(resultcode.Usage, "-reason is missing: want the reason, which is recorded with the override")
	}
	var changes []settings.Change
	for _, arg := range inv.args[1:] {
		change := settings.Change{Scope: name, SetBy: attribution.SetBy, Reason: attribution.Reason, SetAt: attribution.SetAt}
		if err := fill(&change, arg); err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	if err := settings.CheckAll(changes); err != nil {
		return nil, err
	}
	return inv.write(ctx, name, changes)
}

// write reads the object, checks -if-version and the fields to unset against it, and
// writes the changes.
func (inv *invocation) write(ctx context.Context, name settings.ScopeName, changes []settings.Change) (output, error) {
	c, err := inv.client()
	if err != nil {
		return nil, err
	}
	current, err := c.read(ctx, name)
	if err != nil {
		return nil, err
	}
	if ifVersion := inv.options.ifVersion; ifVersion != anyVersion && ifVersion != current.version {
		return nil, versionConflict(current, ifVersion, changes)
	}
	if err := checkUnsets(current, changes); err != nil {
		return nil, err
	}
	written, err := c.edit(ctx, current, changes, inv.options.ifVersion != anyVersion)
	if err != nil {
		return nil, err
	}
	return EditResult{Written: []Written{written}}, nil
}

// checkUnsets returns an error when a change unsets a field that is not set in current,
// the object as just read from the store.
func checkUnsets(current storedScope, changes []settings.Change) error {
	for _, c := range changes {
		if _, isSet := current.scope.OverridesFor(c.Scope.Kind)[c.Field]; !isSet && c.Value == nil {
			return resultcode.New(resultcode.ScopeNotFound, "%s: %s is not set there; nothing was written, see mustardwing explain", c.Scope, c.Field)
		}
	}
	return nil
}

// versionConflict returns a ConflictError with all the changes. current is the object as
// just read from the store, whose version is not ifVersion.
func versionConflict(current storedScope, ifVersion int64, changes []settings.Change) error {
	conflict := &ConflictError{Scope: current.name.String(), SeenVersion: ifVersion, Version: current.version}
	for _, c := range changes {
		conflict.addField(c, current.scope)
	}
	return conflict
}

func (r EditResult) text(w io.Writer) {
	revision := int64(0)
	for _, written := range r.Written {
		for _, change := range written.Changes {
			fmt.Fprintln(w, change)
		}
		if written.Merged {
			fmt.Fprintf(w, "%s: merged with another operator's edit of other fields\n", written.Scope)
		}
		if written.Recovered {
			fmt.Fprintf(w, "%s: the response to the write was lost; the write took effect\n", written.Scope)
		}
		if written.StoreReturned {
			fmt.Fprintf(w, "%s: the store has returned from an older copy during the edit, which may have replaced another operator's; see mustardwing history %s\n", written.Scope, written.Scope)
		}
		revision = max(revision, written.Revision)
	}
	if r.Unchanged > 0 {
		fmt.Fprintf(w, "%d changes were in force already\n", r.Unchanged)
	}
	if revision > 0 {
		fmt.Fprintf(w, "revision %d; mustardwing wait -revision %d waits until it is in force everywhere\n", revision, revision)
	}
}
