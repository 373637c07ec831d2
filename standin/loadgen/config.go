// Package loadgen is a load client: open-loop arrivals, classes of calls,
// clients that retry, and an HDR histogram of latencies for each class.
package loadgen

import "time"

// Class is one stream of calls.
type Class struct {
	Name    string
	Service string
	Kind    string
	Method  string
	// Rate is the mean number of new requests per second.
	Rate float64
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Keyed calls carry an idempotency key that stays the same over retries.
	Keyed bool
}

// Phase changes the rates for a time.
type Phase struct {
	Duration time.Duration
	// Factor multiplies every class's rate.
	Factor float64
}

// Config describes one run.
type Config struct {
	// Targets are base URLs of caller listeners, used in turn.
	Targets []string
	Classes []Class
	Phases  []Phase
	// Retries is how often a client sends a failed request again.
	Retries int
	// RetryDelay is the time between two attempts of one client.
	RetryDelay time.Duration
	// Timeout is how long a client waits for one attempt.
	Timeout time.Duration
	// Interval is the length of the buckets of the timeline.
	Interval time.Duration
	Seed     uint64
	// MaxOutstanding bounds the client's memory; arrivals beyond it are counted
	// as dropped.
	MaxOutstanding int
}
