// Package budget bounds the retries that this node sends to each service, so that
// the retries of all nodes together stay within the operators' bounds without any
// communication between the nodes, and chooses the root requests that get them while they
// are scarce. A first arrival is a call that this node sends to a service and that is not a
// nested call of a retry. A retry is a hedge, a new attempt after one that reached or may
// have reached an upstream, or a nested call of a retry. A move after an attempt that
// reached no upstream is neither. The calling side of package mesh records arrivals here
// and asks before each retry.
package budget

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// ratioFraction is the fraction of the operators' ratio that Take grants at a service
	// whose calls make nested calls: those of its retries are retries at the services that
	// they go to and cannot be held back there.
	ratioFraction = 0.6
	// leafFraction is the same at a service whose calls make no nested calls. The rest is for
	// nested calls of retries, which are sent even if no retry is left, and for requests that
	// move from node to node within a window.
	leafFraction = 0.85
	// slackFraction is the fraction of the operators' slack that Take grants.
	slackFraction = 0.5
	// hedgeFraction is the fraction of what Take grants up to which hedges may use it.
	hedgeFraction = 0.3
	// leafSamples is the number of calls after which a service may be taken for one whose
	// calls make no nested calls, nestedWeight the weight of a call in the moving fraction of
	// those that do, and maxNested the highest fraction at such a service.
	leafSamples  = 50
	nestedWeight = 0.01
	maxNested    = 0.005
	// accruedFraction is the fraction of this node's share of the slack with which it may use an
	// accrued retry in a window, so that nodes that use theirs in the same window stay within the
	// slack together.
	accruedFraction = 0.6
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

// Budget is the retry budget of this node. It is safe for concurrent use.
type Budget struct {
	bounds     Bounds
	random     *rand.Rand
	onScarcity func(service string, s Scarcity)

	mu sync.Mutex
	// nodes is the number of nodes in the fleet, at least one.
	nodes int
	// services holds the account of each service by its name.
	services map[string]*account
}

// New returns a budget for a fleet of one node, which draws its random numbers from random.
func New(bounds Bounds, random *rand.Rand) *Budget {
	return &Budget{bounds: bounds, random: random, nodes: 1, services: make(map[string]*account)}
}

// OnScarcity sets a function that is called, without a lock held, when retries at a service
// become scarce and when they no longer are. It must be called before the budget is used.
func (b *Budget) OnScarcity(f func(service string, s Scarcity)) {
	b.onScarcity = f
}

// SetBounds replaces the bounds for all services. The retries of the latest window still
// count.
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

// slackShare returns this node's share of the slack that Take grants, in retries per window.
func (b *Budget) slackShare() float64 {
	return slackFraction * b.bounds.Slack / float64(b.nodes)
}

// get returns the account of a service as of now. b.mu must be held.
func (b *Budget) get(now time.Time, service string) *account {
	a, ok := b.services[service]
	if !ok {
		a = newAccount(now, b.bounds.Window)
		b.services[service] = a
	}
	a.advance(now, b.bounds.Window, b.slackShare())
	return a
}

// RecordArrival counts a first arrival.
func (b *Budget) RecordArrival(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(now, service).recordArrival(b.bounds.Ratio)
}

// RecordRun records whether a call that the upstream ran with success has made nested calls.
func (b *Budget) RecordRun(now time.Time, service string, nested bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(now, service).recordRun(nested)
}

// Charge counts a nested call of a retry, which is a retry itself but is sent even if
// no retry is left.
func (b *Budget) Charge(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(now, service).charge()
}

// Take takes one retry. It reports whether the retry may be sent, and takes nothing when it
// may not. While fewer retries are left than are claimed, they go to the claims with the
// highest priority, among these to calls whose parent call needs the fewest further calls,
// and among these by rank. The root requests that get them then complete, instead of all
// root requests getting a few and failing.
func (b *Budget) Take(now time.Time, service string, claim Claim) bool {
	b.mu.Lock()
	a := b.get(now, service)
	granted := a.take(now, claim, b.bounds, b.slackShare(), b.random)
	s, changed := a.scarcity.update(now, !granted && !claim.Hedge, claim)
	b.mu.Unlock()
	if changed && b.onScarcity != nil {
		b.onScarcity(service, s)
	}
	return granted
}
