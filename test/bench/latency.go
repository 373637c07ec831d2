package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/standin/loadgen"
	"github.com/mustardwing/mustardwing/test/fleet"
)

const (
	// latencyDuration is the length of the measured run, latencyWarmUp that of the run
	// before it.
	latencyDuration = 8 * time.Second
	latencyWarmUp   = 2 * time.Second
)

// LatencyRow compares calls to an upstream with and without the nodes.
type LatencyRow struct {
	// SlotFraction is the fraction of the upstream's slots that the load occupies.
	SlotFraction float64
	// DirectP50 and DirectP99 are latencies of calls that go straight to the upstream,
	// ThroughP50 and ThroughP99 those of calls through the nodes, in milliseconds.
	DirectP50, DirectP99   float64
	ThroughP50, ThroughP99 float64
	// CPUMicrosPerCall is the processor time of both nodes per call, in microseconds.
	CPUMicrosPerCall float64
}

// MeasureLatency sends the same load to one upstream directly and through two nodes: that
// of the service "entry", which stands for the caller's node, and the upstream's.
func MeasureLatency(ctx context.Context, f *fleet.Fleet, service string, slotFraction float64, seed uint64) (LatencyRow, error) {
	instance := f.Instances(service)[0]
	entry := f.Instances("entry")[0]
	rate := slotFraction * float64(instance.Service.Slots) / instance.Service.ServiceTime.Seconds()
	class := loadgen.Class{Name: normal, Service: service, Kind: normal, Method: http.MethodGet, Rate: rate}
	row := LatencyRow{SlotFraction: slotFraction}
	direct, err := runLatencyLoad(ctx, "http://"+instance.Upstream.FirstLine, class, seed)
	if err != nil {
		return row, err
	}
	before := CPUTime(entry.Node.Pid(), instance.Node.Pid())
	through, err := runLatencyLoad(ctx, "http://"+entry.Node.Addresses.Caller, class, seed)
	if err != nil {
		return row, err
	}
	used := CPUTime(entry.Node.Pid(), instance.Node.Pid()) - before
	if through.Failed > 0 || direct.Failed > 0 {
		return row, errors.Errorf("failed calls: %d direct, %d through the nodes %v", direct.Failed, through.Failed, through.Codes)
	}
	row.DirectP50, row.DirectP99 = direct.QuantileMs(50), direct.QuantileMs(99)
	row.ThroughP50, row.ThroughP99 = through.QuantileMs(50), through.QuantileMs(99)
	// The processor time includes the warm-up, the attempts do not.
	calls := float64(through.Attempts) * (latencyDuration + latencyWarmUp).Seconds() / latencyDuration.Seconds()
	row.CPUMicrosPerCall = float64(used.Microseconds()) / calls
	return row, nil
}

// runLatencyLoad sends the load twice and returns the second result. The first,
// shorter run opens the connections.
func runLatencyLoad(ctx context.Context, target string, class loadgen.Class, seed uint64) (*loadgen.ClassResult, error) {
	var result *loadgen.Result
	for _, duration := range []time.Duration{latencyWarmUp, latencyDuration} {
		var err error
		result, err = loadgen.Run(ctx, loadgen.Config{
			Targets: []string{target},
			Classes: []loadgen.Class{class},
			Phases:  []loadgen.Phase{{Duration: duration, Factor: 1}},
			Timeout: clientTimeout,
			Seed:    seed,
		})
		if err != nil {
			return nil, err
		}
	}
	return result.Classes[class.Name], nil
}
