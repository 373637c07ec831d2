// Package loadgen is a load generator: open-loop arrivals, classes of calls,
// clients that retry, and an HDR histogram of latencies for each class.
package loadgen

import "time"

// Class is one stream of calls with the same properties.
type Class struct {
	Name    string
	Service string
	// Kind is the call kind; empty means that the requests name none.
	Kind   string
	Method string
	// Rate is the mean number of new requests per second.
	Rate float64
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Keyed calls carry an idempotency key that stays the same over retries.
	Keyed bool
}

// Phase is a period with its own request rates.
type Phase struct {
	Duration time.Duration
	// Factor multiplies every class's rate.
	Factor float64
}

// Config describes one run.
type Config struct {
	// Targets are base URLs of the listeners on which nodes accept callers' requests.
	// The first attempt at a request goes to a random one, each retry to the next.
	Targets []string
	Classes []Class
	Phases  []Phase
	// Retries is the number of times that a client retries a failed request.
	Retries int
	// RetryDelay is the time between two attempts at one request.
	RetryDelay time.Duration
	// Timeout is how long a client waits for one attempt.
	Timeout time.Duration
	// Interval is the length of a bucket of the timelines; zero means 100 ms.
	Interval time.Duration
	// Seed determines the arrivals, the first targets and the bodies.
	Seed uint64
	// MaxOutstanding is the limit of unfinished requests, which bounds the memory of
	// the load generator; arrivals beyond it are counted as dropped. Zero means
	// 20,000.
	MaxOutstanding int
}
