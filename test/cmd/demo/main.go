// Command demo starts a small deployment as real processes, sends calls through it,
// overloads it and shows which calls succeeded and which were shed. It needs no input
// and exits with status 0 only if all its checks hold.
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

// Properties of each instance.
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
	steps := []func(context.Context, *fleet.Fleet) error{singleCall, retriedCharge, overload}
	for _, step := range steps {
		if err := step(ctx, f); err != nil {
			return err
		}
	}
	return operatorView(ctx, f)
}

func deployment() fleet.Deployment {
	service := func(name string, nestedCalls ...string) fleet.ServiceSpec {
		return fleet.ServiceSpec{Name: name, Instances: 2, Slots: slots, Connections: 100, ServiceTime: serviceTime, NestedCalls: nestedCalls}
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

// operatorView shows the same fleet as the command-line client reports it.
func operatorView(ctx context.Context, f *fleet.Fleet) error {
	fmt.Println("\nWhat an operator sees:")
	commands := [][]string{
		{"explain", "-region", "ro", "-service", "search", "-kind", "promotion"},
		{"status"},
	}
	if err := waitForReport(ctx, f); err != nil {
		return err
	}
	for _, args := range commands {
		fmt.Println("\n$ mustardwing", args)
		output, err := runClient(ctx, f, args...)
		fmt.Print(output)
		if err != nil {
			return err
		}
	}
	return nil
}

// reportTimeout exceeds the interval at which failure domains report their status.
const reportTimeout = 15 * time.Second

// waitForReport waits until a failure domain has reported; before that the status
// command shows no nodes.
func waitForReport(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return fleet.Poll(ctx, 200*time.Millisecond, func() error {
		output, err := runClient(ctx, f, "status")
		if err == nil && strings.Contains(output, "no failure domain has reported yet") {
			err = errors.Errorf("no failure domain has reported within %s", reportTimeout)
		}
		return err
	})
}

// runClient runs the command-line client and returns its output.
func runClient(ctx context.Context, f *fleet.Fleet, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.BinDir, "mustardwing"), args...)
	cmd.Env = append(os.Environ(), "MUSTARDWING_PLATFORM="+f.PlatformURL)
	output, err := cmd.CombinedOutput()
	return string(output), errors.Wrapf(err, "mustardwing %v", args)
}
