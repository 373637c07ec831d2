package routing

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Route says what may be done with the calls below one path prefix of a host.
type Route struct {
	// Name identifies the route in logs and is the kind of its calls.
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Idempotent bool
	Priority   call.Priority
	// Timeout bounds a whole call. Zero means that only the caller's bounds it.
	Timeout time.Duration
	// Objective is the latency that callers expect.
	Objective time.Duration
	// MaxAttempts is the number of instances to which one call may be sent.
	MaxAttempts int
	// Targets are the services that share the calls by weight.
	Targets []Target
}

// Target is one service of a route and its part of the calls.
type Target struct {
	Service string
	Weight  float64
}

// Pick returns the service at a point in [0,1) of the weights laid end to end.
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := point * total
	for _, t := range r.Targets {
		if rest < t.Weight {
			return t.Service
		}
		rest -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
