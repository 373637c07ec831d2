// Package bench measures whole fleets of real processes under load, with the
// policy and with the baseline.
package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/standin/loadgen"
	"github.com/mustardwing/mustardwing/test/fleet"
)

const (
	clientTimeout = 2 * time.Second
	// hardRetries and hardRetryPause describe clients that retry hard.
	hardRetries    = 3
	hardRetryPause = 20 * time.Millisecond
	// criticalShare is the critical class's part of the capacity.
	criticalShare = 0.2
	// Class names of the load.
	critical = "critical"
	normal   = "normal"
	long     = "long"
)

// Scenario is one measure.
type Scenario struct {
	Name string
	Run  func(ctx context.Context, r *Run) error
}

// Run is one scenario run on one fleet.
type Run struct {
	Fleet *fleet.Fleet
	// EntryService is the service that clients call.
	EntryService string
	// Capacity is the number of whole requests per second that the slots allow.
	Capacity float64
	Seed     uint64
	Metrics  map[string]float64
}

// Scenarios returns all measures.
func Scenarios() []Scenario {
	return []Scenario{
		{"goodput-2x", overload(2)},
		{"goodput-4x", overload(4)},
		{"recovery", recovery},
		{"crest", crest},
		{"long-jobs", longJobs},
		{"straggler", straggler},
	}
}

// Capacity is the rate at which the first service of the chain runs out of
// slots: a call holds its slot while its child calls run.
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

func (r *Run) load(ctx context.Context, classes []loadgen.Class, phases []loadgen.Phase, retries int) (*loadgen.Result, error) {
	return loadgen.Run(ctx, loadgen.Config{
		Targets:    r.Fleet.CallerURLs(),
		Classes:    classes,
		Phases:     phases,
		Retries:    retries,
		RetryDelay: hardRetryPause,
		Timeout:    clientTimeout,
		Seed:       r.Seed,
	})
}

// mixed returns the two classes whose rates add up to the given share of the
// capacity; the critical class never asks for more than criticalShare.
func (r *Run) mixed(share float64) []loadgen.Class {
	criticalRate := min(criticalShare, share) * r.Capacity
	return []loadgen.Class{
		{Name: critical, Service: r.EntryService, Kind: critical, Method: http.MethodGet, Rate: criticalRate},
		{Name: normal, Service: r.EntryService, Kind: normal, Method: http.MethodGet, Rate: share*r.Capacity - criticalRate},
	}
}

func (r *Run) plain(share float64) []loadgen.Class {
	return []loadgen.Class{{Name: normal, Service: r.EntryService, Kind: normal, Method: http.MethodGet, Rate: share * r.Capacity}}
}

// executions sums what all upstreams did.
func (r *Run) executions() (started int, err error) {
	for _, i := range r.Fleet.Instances("") {
		stats, err := i.Stats()
		if err != nil {
			return 0, err
		}
		started += stats.Started
	}
	return started, nil
}
