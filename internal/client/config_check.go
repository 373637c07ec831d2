package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/mustardwing/mustardwing/internal/configcheck"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/routing"
)

// againstCurrent is the value of -against that stands for the configuration in the store.
const againstCurrent = "current"

// Exit statuses of config check, for scripts.
const (
	exitWarnings = 1
	exitErrors   = 2
)

// ConfigFormat says how the configuration of the routes is stored.
type ConfigFormat struct {
	// Key is its key in the store.
	Key string
	// Decode parses it and refuses what the nodes refuse.
	Decode func([]byte) (*routing.Table, error)
}

func configCommand() command {
	return command{
		name: "config", args: "check FILE", minArgs: 2, maxArgs: 2,
		summary: "Checks a configuration of routes and organisations before it is sent.",
		examples: []string{
			"mustardwing config check next.json",
			"mustardwing config check next.json -strict -against previous.json",
			"mustardwing config check next.json -against current -o json",
		},
		register: func(f *flag.FlagSet, o *options, _ string) {
			o.registerCommon(f, defaultTimeout)
			o.registerPlatform(f)
			f.StringVar(&o.against, "against", "", "show what differs from a `FILE`, or from the store's configuration with \"current\"")
			f.BoolVar(&o.strict, "strict", false, "exit with status 1 if there are warnings")
		},
		run: runConfigCheck,
	}
}

// ConfigCheckResult is the result of config check.
type ConfigCheckResult struct {
	File string `json:"file"`
	// Version is zero if the file is not a valid configuration.
	Version uint64 `json:"version,omitempty"`
	// Against is the version with which the file was compared, zero if it was not.
	Against  uint64                `json:"against,omitempty"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes,omitempty"`
	strict   bool
}

func runConfigCheck(ctx context.Context, inv *invocation) (output, error) {
	if inv.args[0] != "check" {
		return nil, resultcode.New(resultcode.Usage, "config %q: want check", inv.args[0])
	}
	result := ConfigCheckResult{File: inv.args[1], Findings: []configcheck.Finding{}, strict: inv.options.strict}
	raw, err := inv.readConfigFile(inv.args[1])
	if err != nil {
		return nil, err
	}
	table, err := inv.app.Config.Decode(raw)
	if err != nil {
		result.Findings = append(result.Findings, configcheck.Finding{Severity: configcheck.Error, Where: inv.args[1], Text: err.Error()})
		return result, nil
	}
	result.Version = table.Version
	result.Findings = append(result.Findings, configcheck.Check(table)...)
	if inv.options.against == "" {
		return result, nil
	}
	inForce, err := inv.configInForce(ctx)
	if err != nil {
		return nil, err
	}
	result.Against = inForce.Version
	comparison := configcheck.Compare(inForce, table)
	result.Findings = append(comparison.Findings, result.Findings...)
	result.Changes = comparison.Changes
	return result, nil
}

func (inv *invocation) readConfigFile(path string) ([]byte, error) {
	raw, err := inv.app.ReadFile(path, platform.MaxValueBytes)
	if err != nil {
		return nil, resultcode.Wrap(err, resultcode.Usage, "read %s", path)
	}
	return raw, nil
}

// configInForce returns the configuration that -against names, an empty one if the store has none.
func (inv *invocation) configInForce(ctx context.Context) (*routing.Table, error) {
	against := inv.options.against
	var raw []byte
	var err error
	if against != againstCurrent {
		raw, err = inv.readConfigFile(against)
	} else {
		raw, err = inv.readStoredConfig(ctx)
	}
	if nothingInForce(err) {
		return routing.New(0, routing.DefaultLimits(), nil), nil
	}
	if err != nil {
		return nil, err
	}
	table, err := inv.app.Config.Decode(raw)
	if err != nil {
		return nil, resultcode.Wrap(err, resultcode.SettingsInvalid, "the configuration to compare with, %s", against)
	}
	return table, nil
}

func (inv *invocation) readStoredConfig(ctx context.Context) ([]byte, error) {
	store, err := inv.app.store(inv.options.platform)
	if err != nil {
		return nil, err
	}
	object, err := store.Get(ctx, inv.app.Config.Key)
	return object.Value, err
}

// nothingInForce reports whether the store has no configuration yet.
func nothingInForce(err error) bool {
	return err != nil && resultcode.From(err).Code == resultcode.ScopeNotFound
}

// exitStatus implements statusOutput.
func (r ConfigCheckResult) exitStatus() int {
	has := func(s configcheck.Severity) bool {
		return slices.ContainsFunc(r.Findings, func(f configcheck.Finding) bool { return f.Severity == s })
	}
	switch {
	case has(configcheck.Error):
		return exitErrors
	case r.strict && has(configcheck.Warning):
		return exitWarnings
	}
	return 0
}

func (r ConfigCheckResult) text(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s: %s: %s\n", f.Severity, f.Where, f.Text)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(w, "change: %s: %s\n", c.Where, c.Text)
	}
	fmt.Fprintf(w, "%s: version %d, %d findings", r.File, r.Version, len(r.Findings))
	if r.Against != 0 {
		fmt.Fprintf(w, ", %d changes to version %d", len(r.Changes), r.Against)
	}
	fmt.Fprintln(w)
}
