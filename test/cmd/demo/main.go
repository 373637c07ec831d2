// Command demo starts a small deployment as real processes, sends calls through
// it, overloads it and shows what was answered and what was shed. It ends by
// itself; the exit status is 0 only if its own checks hold.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/test/bench"
	"github.com/mustardwing/mustardwing/test/fleet"
)

const (
	serviceTime = 20 * time.Millisecond
	slots       = 8
)

func main() {
	binDir := flag.String("bin", "bin", "directory of the programs")
	flag.Parse()
	if err := run(context.Background(), *binDir); err != nil {
		fmt.Fprintln(os.Stderr, "demo: FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("\nAll checks of the demonstration hold.")
}

func run(ctx context.Context, binDir string) error {
	d := deployment()
	fmt.Println("Starting 3 services of 2 instances, each with its node, and the platform stand-in ...")
	f, err := fleet.StartInTempDir(ctx, binDir, "demo", d)
	if err != nil {
		return err
	}
	defer f.Stop()
	steps := []func(context.Context, *fleet.Fleet) error{singleCall, repeatedCharge, overload}
	for _, step := range steps {
		if err := step(ctx, f); err != nil {
			return err
		}
	}
	return operatorView(ctx, f)
}

func deployment() fleet.Deployment {
	service := func(name string, children ...string) fleet.ServiceSpec {
		return fleet.ServiceSpec{Name: name, Instances: 2, Slots: slots, Connections: 100, ServiceTime: serviceTime, NestedCalls: children}
	}
	d := fleet.Deployment{
		Region:         "ro",
		FailureDomains: []string{"ro-a", "ro-b"},
		Services:       []fleet.ServiceSpec{service("search", "payments"), service("payments", "history"), service("history")},
		Policy:         "full",
		LogLevel:       "warn",
	}
	d.Settings = bench.Settings(d.Services)
	d.Settings["settings/service/search"] = fleet.ScopeObject(nil,
		fleet.KindOverrides{Name: "background", Overrides: fleet.Overrides{"priority": "background"}},
		fleet.KindOverrides{Name: "normal", Overrides: fleet.Overrides{"priority": "normal"}},
		fleet.KindOverrides{Name: "critical", Overrides: fleet.Overrides{"priority": "critical"}},
		fleet.KindOverrides{Name: "promotion", Overrides: fleet.Overrides{"priority": "critical", "idempotent": "no"}},
	)
	return d
}

// operatorView shows the same fleet through the command-line client.
func operatorView(ctx context.Context, f *fleet.Fleet) error {
	fmt.Println("\nWhat an operator sees:")
	commands := [][]string{
		{"explain", "-region", "ro", "-service", "search", "-kind", "promotion"},
		{"status"},
	}
	if err := awaitReports(ctx, f); err != nil {
		return err
	}
	for _, args := range commands {
		fmt.Println("\n$ mustardwing", args)
		output, err := command(ctx, f, args...)
		fmt.Print(output)
		if err != nil {
			return err
		}
	}
	return nil
}

// reportWait is above the interval at which failure domains report.
const reportWait = 15 * time.Second

// awaitReports returns once a failure domain has reported, without which the
// status shows nothing.
func awaitReports(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	return fleet.Poll(ctx, 200*time.Millisecond, func() error {
		output, err := command(ctx, f, "status")
		if err == nil && strings.Contains(output, "no failure domain has reported yet") {
			err = errors.Errorf("no failure domain has reported within %s", reportWait)
		}
		return err
	})
}

// command runs the command-line client and returns what it prints.
func command(ctx context.Context, f *fleet.Fleet, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.BinDir, "mustardwing"), args...)
	cmd.Env = append(os.Environ(), "MUSTARDWING_PLATFORM="+f.PlatformURL)
	output, err := cmd.CombinedOutput()
	return string(output), errors.Wrapf(err, "mustardwing %v", args)
}
