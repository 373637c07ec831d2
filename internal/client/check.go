package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

func checkCommand() command {
	return command{
		name: "check", args: "[FILE]", maxArgs: 1,
		summary: "Checks a file for apply without the platform or, without a file, the settings in the store.",
		examples: []string{
			"mustardwing check sale.json",
			"mustardwing check",
		},
		register: func(f *flag.FlagSet, o *options, user string) {
			o.registerCommon(f, defaultTimeout)
			o.registerPlatform(f)
			o.registerAttribution(f, user)
		},
		run: runCheck,
	}
}

// CheckResult is the result of check: what was found valid.
type CheckResult struct {
	// Source is the file's name, or "store".
	Source string `json:"source"`
	// Changes counts the changes of a file, Objects those of the store.
	Changes int `json:"changes,omitempty"`
	Objects int `json:"objects,omitempty"`
}

func runCheck(ctx context.Context, inv *invocation) (output, error) {
	if len(inv.args) == 1 {
		changes, err := inv.readChangeFile(inv.args[0])
		return CheckResult{Source: inv.args[0], Changes: len(changes)}, err
	}
	c, err := inv.client()
	if err != nil {
		return nil, err
	}
	t, err := c.readTree(ctx)
	if err != nil {
		return nil, err
	}
	if len(t.invalid) > 0 {
		var lines []string
		for _, object := range t.invalid {
			lines = append(lines, object.err.Detail)
		}
		return nil, resultcode.New(resultcode.SettingsInvalid, "%d objects in the store are refused by the nodes\n  %s", len(lines), strings.Join(lines, "\n  "))
	}
	return CheckResult{Source: "store", Objects: len(t.objects)}, nil
}

func (r CheckResult) text(w io.Writer) {
	if r.Source == "store" {
		fmt.Fprintf(w, "store: %d objects are valid\n", r.Objects)
		return
	}
	fmt.Fprintf(w, "%s: %d changes are valid\n", r.Source, r.Changes)
}
