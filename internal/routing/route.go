package routing

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Route holds the rules for calls to one host whose path begins with a prefix.
type Route struct {
	// Name identifies the route in logs and is the kind of its calls.
	Name string
	// Host is compared with the host of a request without its port and ignoring case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is set when the calls may run more than once.
	Idempotent bool
	Priority   call.Priority
	// Public is set when callers need no credential.
	Public bool
	// Timeout bounds a whole call with all its attempts. With zero only the caller's
	// timeout applies.
	Timeout time.Duration
	// Objective is the latency objective: the latency that callers expect. With zero
	// calls are not hedged.
	Objective time.Duration
	// MaxAttempts is the largest number of attempts at one call that an upstream may have
	// run; zero counts as one. An attempt that is proved not to have run does not count.
	MaxAttempts int
	// Targets are the services among which calls are split by weight.
	Targets []Target
}

// Target is one service of a route. Its share of the calls is its weight divided by the
// sum of the weights of all targets.
type Target struct {
	Service string
	Weight  float64
}

// Pick returns the service for a point in [0,1). Each service covers a share of this
// interval in proportion to its weight, in the order of Targets. Pick panics when the
// route has no targets.
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := point * total
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
