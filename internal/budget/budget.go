// Package budget bounds the retries that this node sends to each service, so that
// the retries of all nodes together stay within the operators' bounds without any
// communication between the nodes. A first arrival is a call that this node sends to a
// service and that is not a nested call of a retry. A retry is a hedge, a new attempt
// after one that reached or may have reached an upstream, or a nested call of a retry. A
// move after an attempt that reached no upstream is neither.
package budget

import (
	"math"
	"sync"
	"time"
)

const (
	// ratioFraction is the fraction of the operators' ratio that Take grants. The rest
	// is for nested calls of retries, which count as retries but cannot be held back.
	ratioFraction = 0.6
	// slackFraction is the fraction of the operators' slack that Take grants.
	slackFraction = 0.5
	// reserveFraction is the fraction of a full bucket, less one token, that calls of the
	// lowest importance must leave in the bucket. It is below one, so that these calls can
	// be retried while tokens are plentiful.
	reserveFraction = 0.9
)

// Bounds are the operators' bounds for the retries at one service.
type Bounds struct {
	// Ratio is the number of retries allowed for each first arrival.
	Ratio float64
	// Slack is the number of retries of all nodes together that are allowed in one
	// window in addition to the ratio.
	Slack float64
	// Window is a length of time. The bounds hold in every span of that length.
	Window time.Duration
}

// Budget is the retry budget of this node, with a token bucket for each service. It
// is safe for concurrent use.
type Budget struct {
	bounds Bounds

	mu sync.Mutex
	// nodes is the number of nodes in the fleet, at least one.
	nodes int
	// services holds the bucket of each service by its name.
	services map[string]*bucket
}

// bucket is a token bucket that is filled by first arrivals and over time by this
// node's share of the slack. It holds at most half of that share plus the tokens that
// the first arrivals of half a window add, but always at least one token fits.
type bucket struct {
	// tokens is the number of retries that may be sent now. It is negative when nested
	// calls of retries have put the bucket into debt.
	tokens     float64
	lastRefill time.Time
	// recentArrivals is a count of first arrivals that decays with the window as its
	// time constant.
	recentArrivals float64
}

// New returns a budget for a fleet of one node.
func New(bounds Bounds) *Budget {
	return &Budget{bounds: bounds, nodes: 1, services: make(map[string]*bucket)}
}

// SetBounds replaces the bounds for all services. The buckets keep their tokens as far
// as the new bounds allow.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// SetNodes sets the number of nodes in the fleet, which share the slack.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

// slackShare returns this node's share of the slack that Take grants, in retries per
// window. Of the share, a bucket holds at most half and is refilled with the other half
// within a window, so no window exceeds the share.
func (b *Budget) slackShare() float64 {
	return slackFraction * b.bounds.Slack / float64(b.nodes)
}

// get returns the bucket of a service, refilled and decayed up to now. A new bucket
// starts with half of this node's share of the slack. b.mu must be held.
func (b *Budget) get(now time.Time, service string) *bucket {
	a, ok := b.services[service]
	if !ok {
		a = &bucket{tokens: b.slackShare() / 2, lastRefill: now}
		b.services[service] = a
	}
	refill := now.Sub(a.lastRefill).Seconds() / b.bounds.Window.Seconds() * b.slackShare() / 2
	a.tokens = min(a.tokens+max(0, refill), b.maxTokens(a))
	a.recentArrivals *= math.Exp(-now.Sub(a.lastRefill).Seconds() / b.bounds.Window.Seconds())
	a.lastRefill = now
	return a
}

// RecordArrival counts a first arrival, which adds ratioFraction of the ratio to the
// bucket of the service.
func (b *Budget) RecordArrival(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(now, service)
	a.recentArrivals++
	a.tokens = min(a.tokens+ratioFraction*b.bounds.Ratio, b.maxTokens(a))
}

// maxTokens returns the largest number of tokens that the bucket may hold, at least one
// so that a retry is possible.
func (b *Budget) maxTokens(a *bucket) float64 {
	return max(1, b.slackShare()/2+ratioFraction*b.bounds.Ratio*a.recentArrivals/2)
}

// Charge counts a nested call of a retry, which is a retry itself but is sent even if
// the bucket has no token. The debt of the bucket, its negative number of tokens, is at
// most maxTokens.
func (b *Budget) Charge(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(now, service)
	a.tokens = max(a.tokens-1, -b.maxTokens(a))
}

// Take takes the token for one retry. It reports whether the retry may be sent, and
// takes nothing when it may not. The importance of a call is from 0 to 1. Calls of the
// highest importance may empty the bucket; the others must leave a reserve that grows as
// their importance falls. When retries are scarce, they therefore go to the same few
// root requests, which then complete, and not to some calls of every root request, which
// would all fail.
func (b *Budget) Take(now time.Time, service string, importance float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(now, service)
	reserve := (b.maxTokens(a) - 1) * reserveFraction * (1 - importance)
	if a.tokens < 1+reserve {
		return false
	}
	a.tokens--
	return true
}
