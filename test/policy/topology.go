// Package policy is a focused run of a few nodes under virtual time. It uses the
// admission, balancer and retry code of the daemon with fake upstreams and
// clients, and measures it against the baseline of section 1.3 of the design page.
package policy

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Service is one service of the chain. Each calls the next one.
type Service struct {
	Instances, Slots int
	// Work is the mean of the exponential time that an upstream works on a call
	// before it calls the next service. The slot is held until that has answered.
	Work time.Duration
	// FanOut is the number of parallel calls to the next service.
	FanOut int
}

// Class is a group of requests that clients send.
type Class struct {
	Kind     string
	Priority call.Priority
	// Share is the part of all requests.
	Share float64
	// WorkFactor multiplies Work at every service.
	WorkFactor float64
	Idempotent bool
}

// Scenario is one run.
type Scenario struct {
	Services []Service
	Classes  []Class
	// Rate is the number of new requests per second at a time since the start.
	Rate func(time.Duration) float64
	// Warmup is left out of the results, Length is the total length.
	Warmup, Length time.Duration
	// Slow multiplies the work at an instance of a service at a given time.
	Slow func(service, instance int, at time.Duration) float64
	// Baseline switches the policy off: round robin, no admission control and
	// three retries at each hop.
	Baseline bool
	Seed     uint64
	// Timeout is the time in which a request is of use to its client, including
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
	// hopDelay is one way between failure domains, clientDelay one way between
	// clients and nodes (Rulaj: about 1.5 ms and 8 ms there and back).
	hopDelay      = 750 * time.Microsecond
	clientDelay   = 4 * time.Millisecond
	clientTimeout = time.Second
	// clientRetries and clientBackoff make clients retry hard.
	clientRetries = 5
	clientBackoff = 50 * time.Millisecond
	// baselineRetries is the number of retries of the baseline at each hop.
	baselineRetries = 3
	baselineBackoff = 10 * time.Millisecond
)

// constant is the usual rate function.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}
