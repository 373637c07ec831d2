// Package policy simulates a few nodes under virtual time. It runs the admission,
// balancer and retry code of the daemon with fake upstreams and clients, and compares
// it with the baseline: the policy without overload control that section 1.3 of the
// design page describes.
package policy

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Service is one service of a chain, in which each service calls the next one.
type Service struct {
	Instances, Slots int
	// ServiceTime is the mean of the exponentially distributed time for which an
	// upstream processes a call before it calls the next service. The slot is held
	// until the nested calls have finished.
	ServiceTime time.Duration
	// FanOut is the number of parallel nested calls to the next service.
	FanOut int
}

// Class is a group of client requests of the same kind.
type Class struct {
	Kind     string
	Priority call.Priority
	// Share is the class's share of all requests; the shares add up to 1.
	Share float64
	// ServiceTimeFactor multiplies ServiceTime at every service.
	ServiceTimeFactor float64
	Idempotent        bool
}

// Scenario describes one run.
type Scenario struct {
	Services []Service
	Classes  []Class
	// Rate returns the number of new requests per second at a time since the start.
	Rate func(time.Duration) float64
	// Warmup is the time at the start that goodput, success fractions and latencies leave
	// out, Length the total time during which requests arrive.
	Warmup, Length time.Duration
	// SlowdownFactor returns the factor of the service time at an instance of a service
	// at a time since the start; nil means 1 everywhere.
	SlowdownFactor func(service, instance int, at time.Duration) float64
	// Baseline disables the policy: round-robin balancing, no admission control and
	// three retries at each hop.
	Baseline bool
	Seed     uint64
	// Timeout is the time after which a response is of no use to the client, including
	// the client's own retries; zero means clientTimeout.
	Timeout time.Duration
}

func (s Scenario) timeout() time.Duration {
	if s.Timeout == 0 {
		return clientTimeout
	}
	return s.Timeout
}

const (
	// hopDelay is the one-way delay between failure domains, clientDelay that between
	// clients and nodes. The round trips in Rulaj take about 1.5 ms and 8 ms.
	hopDelay      = 750 * time.Microsecond
	clientDelay   = 4 * time.Millisecond
	clientTimeout = time.Second
	// clientRetries and clientBackoff make clients retry aggressively. The pause before
	// a retry is clientBackoff with a random factor from 0.5 to 1.5.
	clientRetries = 5
	clientBackoff = 50 * time.Millisecond
	// baselineRetries and baselineBackoff are the number of retries of the baseline at
	// each hop and the pause before each.
	baselineRetries = 3
	baselineBackoff = 10 * time.Millisecond
)

// constant returns a rate function that does not vary over time.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}
