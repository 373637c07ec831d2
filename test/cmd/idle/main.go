// Command idle measures the CPU time, memory and loopback traffic of idle nodes by the
// number of instances of their service, because the number of leases between the owners
// of idempotency keys grows with it.
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

const (
	// settleTime lets the nodes join and exchange the first leases before the
	// measurement.
	settleTime = 10 * time.Second
	// idleTime is the length of the measurement.
	idleTime = 10 * time.Second
)

func main() {
	binDir := flag.String("bin", "bin", "directory of the programs")
	flag.Parse()
	fmt.Println("| instances of the service | % of a core | MB resident | loopback KB/s sent and received, with TCP |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, n := range []int{1, 2, 4, 8, 16} {
		if err := measure(context.Background(), *binDir, n); err != nil {
			fmt.Fprintln(os.Stderr, "idle:", err)
			os.Exit(1)
		}
	}
}

// measure starts a fleet of n instances of one service and prints a table row with
// the means per node.
func measure(ctx context.Context, binDir string, n int) error {
	f, err := fleet.StartInTempDir(ctx, binDir, "idle", fleet.Deployment{
		Region:         "ro",
		FailureDomains: []string{"ro-a", "ro-b", "ro-c", "ro-d"},
		Services:       []fleet.ServiceSpec{{Name: "search", Instances: n, Slots: 35, Connections: 300, ServiceTime: time.Millisecond}},
		Policy:         "full",
		LogLevel:       "warn",
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	time.Sleep(settleTime)
	var pids []int
	for _, instance := range f.Instances("") {
		pids = append(pids, instance.Node.Pid())
	}
	before, cpuBefore := bench.LoopbackBytes(), bench.CPUTime(pids...)
	time.Sleep(idleTime)
	bytes, cpu := bench.LoopbackBytes()-before, bench.CPUTime(pids...)-cpuBefore
	resident := 0.0
	for _, pid := range pids {
		resident += bench.ResidentMiB(pid)
	}
	// Each byte on the loopback interface counts once as sent and once as received.
	perNode := 2 * float64(bytes) / idleTime.Seconds() / 1000 / float64(n)
	fmt.Printf("| %d | %.2f | %.1f | %.2f |\n", n, 100*cpu.Seconds()/idleTime.Seconds()/float64(n), resident/float64(n), perNode)
	return nil
}
