// Command latency measures the latency and CPU time that the nodes add to a call, and
// the CPU time and memory that an idle node uses.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/mustardwing/mustardwing/test/bench"
	"github.com/mustardwing/mustardwing/test/fleet"
)

// profileDelay delays the start of the profile until the direct measurement, which
// does not use the nodes, and the warm-up of the measurement through the nodes are
// over.
const profileDelay = 12 * time.Second

// idleTime is how long the idle node is measured.
const idleTime = 10 * time.Second

func main() {
	binDir := flag.String("bin", "bin", "directory of the programs")
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	profile := flag.String("profile", "", "file for a processor profile of the node beside the upstream, at half load")
	serviceTime := flag.Duration("service-time", 20*time.Millisecond, "service time of the upstream")
	flag.Parse()
	if err := run(context.Background(), *binDir, *profile, *seed, *serviceTime); err != nil {
		fmt.Fprintln(os.Stderr, "latency:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, binDir, profile string, seed uint64, serviceTime time.Duration) error {
	d := fleet.Deployment{
		Region:         "ro",
		FailureDomains: []string{"ro-a", "ro-b"},
		Services: []fleet.ServiceSpec{
			{Name: "entry", Instances: 1, Slots: 35, Connections: 300, ServiceTime: time.Millisecond},
			{Name: "search", Instances: 1, Slots: 35, Connections: 300, ServiceTime: serviceTime},
		},
		Policy:   "full",
		LogLevel: "warn",
	}
	d.Settings = bench.Settings(d.Services)
	f, err := fleet.StartInTempDir(ctx, binDir, "latency", d)
	if err != nil {
		return err
	}
	defer f.Stop()
	pid := f.Instances("search")[0].Node.Pid()
	fmt.Printf("idle daemon: %.2f %% of a core, %.1f MB resident\n\n", 100*bench.CPUUtilization(pid, idleTime), bench.ResidentMiB(pid))
	fmt.Println("| share of slots | direct p50 ms | direct p99 ms | through p50 ms | through p99 ms | added p50 ms | added p99 ms | CPU us per call, both nodes |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, fraction := range []float64{0.1, 0.5, 0.8} {
		if fraction == 0.5 && profile != "" {
			go saveProfile(f.Instances("search")[0].Node, profile)
		}
		row, err := bench.MeasureLatency(ctx, f, "search", fraction, seed)
		if err != nil {
			return err
		}
		fmt.Printf("| %.0f %% | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f |\n", 100*fraction, row.DirectP50, row.DirectP99,
			row.ThroughP50, row.ThroughP99, row.ThroughP50-row.DirectP50, row.ThroughP99-row.DirectP99, row.CPUMicrosPerCall)
	}
	fmt.Printf("\nafter load: %.1f MB resident\n", bench.ResidentMiB(pid))
	return nil
}

// saveProfile writes a CPU profile of the node to a file while the load runs.
func saveProfile(node *fleet.Node, path string) {
	time.Sleep(profileDelay)
	data, err := node.CPUProfile(5 * time.Second)
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "profile:", err)
	}
}
