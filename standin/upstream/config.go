// Package upstream is a stand-in for one instance of a service: it has slots, a
// connection limit, a service-time distribution, a slow mode, a cold start, a
// lagging load endpoint and nested calls that it sends through its node.
package upstream

import "time"

// Distribution of service times.
type Distribution string

// Known distributions.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
)

// Config describes one instance.
type Config struct {
	// Listen is the address for calls; port 0 picks a free one.
	Listen string
	// Advertise is the address that the instance announces; empty means the address
	// that it listens on.
	Advertise string
	// Node is the base URL of the node's loopback listener, which accepts the announcement
	// and the nested calls of the instance. Without one the instance neither announces
	// itself nor makes nested calls.
	Node    string
	Service string
	Slots   int
	// MaxConnections is the number of connections beyond which new ones are closed;
	// zero means no limit.
	MaxConnections int
	// ServiceTime is the mean of the distribution.
	ServiceTime  time.Duration
	Distribution Distribution
	// Kinds maps call kinds to a mean service time that replaces ServiceTime.
	Kinds map[string]time.Duration
	// ColdStart is the time over which service times fall from ten times the
	// mean to the mean.
	ColdStart time.Duration
	// LoadLag is the minimum age of the figures of the load endpoint, once it has any of
	// that age.
	LoadLag time.Duration
	// NestedCalls lists the services called during each call, one after the other,
	// as service or service/kind.
	NestedCalls []string
	// RefusesBeforeWork makes the instance reject calls while all slots are taken, with
	// the declaration that they did not run, and announce that it does so. Otherwise
	// excess calls are queued.
	RefusesBeforeWork bool
	// Fails makes every call end with status 503 after its work, without nested calls.
	Fails bool
	// Seed determines the service times.
	Seed uint64
}
