// Package bench measures fleets of real processes under load, with the policy and
// with the baseline: nodes without overload control.
package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/standin/loadgen"
	"github.com/mustardwing/mustardwing/test/fleet"
)

const (
	// clientTimeout is how long a client waits for one attempt.
	clientTimeout = 2 * time.Second
	// aggressiveRetries and aggressiveRetryPause are the retries of clients that do not
	// back off.
	aggressiveRetries    = 3
	aggressiveRetryPause = 20 * time.Millisecond
	// criticalFraction is the largest fraction of the capacity that the critical class
	// demands.
	criticalFraction = 0.2
	// Names of the load classes and of their call kinds.
	critical = "critical"
	normal   = "normal"
	long     = "long"
)

// Scenario is one measurement.
type Scenario struct {
	Name string
	Run  func(ctx context.Context, r *Run) error
}

// Run is one run of a scenario on a fleet. The scenario records its results in Metrics,
// by metric name.
type Run struct {
	Fleet *fleet.Fleet
	// EntryService is the service that clients call.
	EntryService string
	// Capacity is the number of root requests per second that the slots allow.
	Capacity float64
	Seed     uint64
	Metrics  map[string]float64
}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{"goodput-2x", overload(2)},
		{"goodput-4x", overload(4)},
		{"recovery", recovery},
		{"crest", demandPeak},
		{"long-jobs", longJobs},
		{"straggler", straggler},
	}
}

// Capacity returns the rate of root requests at which the bottleneck service of the
// chain runs out of slots. A call holds its slot while its nested calls run.
func Capacity(services []fleet.ServiceSpec) float64 {
	capacity := 0.0
	hold := time.Duration(0)
	for i := len(services) - 1; i >= 0; i-- {
		s := services[i]
		hold += s.ServiceTime
		rate := float64(s.Instances*s.Slots) / hold.Seconds()
		if capacity == 0 || rate < capacity {
			capacity = rate
		}
	}
	return capacity
}

// runLoad sends load to the caller listeners of all nodes. retries is the number of
// times that a client retries a failed request.
func (r *Run) runLoad(ctx context.Context, classes []loadgen.Class, phases []loadgen.Phase, retries int) (*loadgen.Result, error) {
	return loadgen.Run(ctx, loadgen.Config{
		Targets:    r.Fleet.CallerURLs(),
		Classes:    classes,
		Phases:     phases,
		Retries:    retries,
		RetryDelay: aggressiveRetryPause,
		Timeout:    clientTimeout,
		Seed:       r.Seed,
	})
}

// mixedClasses returns a critical and a normal class whose rates add up to loadRatio
// times the capacity. The critical class demands at most criticalFraction of it.
func (r *Run) mixedClasses(loadRatio float64) []loadgen.Class {
	criticalRate := min(criticalFraction, loadRatio) * r.Capacity
	return []loadgen.Class{
		{Name: critical, Service: r.EntryService, Kind: critical, Method: http.MethodGet, Rate: criticalRate},
		{Name: normal, Service: r.EntryService, Kind: normal, Method: http.MethodGet, Rate: loadRatio*r.Capacity - criticalRate},
	}
}

// normalClasses returns a single class whose rate is loadRatio times the capacity.
func (r *Run) normalClasses(loadRatio float64) []loadgen.Class {
	return []loadgen.Class{{Name: normal, Service: r.EntryService, Kind: normal, Method: http.MethodGet, Rate: loadRatio * r.Capacity}}
}

// executions returns the number of executions that all upstreams have started.
func (r *Run) executions() (started int, err error) {
	for _, instance := range r.Fleet.Instances("") {
		stats, err := instance.Stats()
		if err != nil {
			return 0, err
		}
		started += stats.Started
	}
	return started, nil
}
