// Package balancer chooses the upstream instance for each attempt at a call,
// from what this node sees itself.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Balancer chooses among the instances of one service. It is safe for concurrent use.
type Balancer struct {
	mu   sync.Mutex
	core *core
}

// New returns a balancer that takes its randomness from random.
func New(config Config, random *rand.Rand) *Balancer {
	return &Balancer{core: newCore(config, random)}
}

// Configure replaces the settings.
func (b *Balancer) Configure(config Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.configure(config)
}

// SetInstances replaces the list of instances. An instance that keeps its ID and
// incarnation keeps its measurements.
func (b *Balancer) SetInstances(now time.Time, all []Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.setInstances(now, all)
}

// Pick chooses an instance. It fails with NoInstance, or with Overloaded when
// every candidate is known to shed the request's level.
func (b *Balancer) Pick(now time.Time, r PickRequest) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.pick(now, r)
}

// Done reports the end of an attempt. Every Pick is followed by one Done.
func (b *Balancer) Done(now time.Time, c Choice, f Feedback) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.done(now, c, f)
}

// HedgeDelay returns how long to wait before a hedge of this kind, and false
// when too little is known, the hedge limit is reached or the service is shedding
// calls. The hedge itself is a Pick with Hedge set.
func (b *Balancer) HedgeDelay(now time.Time, kind string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.hedgeDelay(now, kind)
}

// LatencyQuantile returns the latency of a kind that the given part of its recent calls
// stayed below, and false while too few are known.
func (b *Balancer) LatencyQuantile(now time.Time, kind string, part float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.core.kinds.get(now, kind)
	if k.recent.total < hedgeMinSamples {
		return 0, false
	}
	return k.recent.quantile(part), true
}

// Busy reports whether an instance is shedding calls or has more of them than
// slots, as far as this node knows.
func (b *Balancer) Busy(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.busy(now)
}

// ReadyCount returns the number of instances that are ready for calls and not in
// exclude. It is what the retry decision needs as the number of untried instances.
func (b *Balancer) ReadyCount(exclude []string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ready(exclude)
}

// Ejected returns the IDs of the instances now excluded as stragglers.
func (b *Balancer) Ejected() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.setAsideIDs()
}
