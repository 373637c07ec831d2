// Package balancer chooses the upstream instance for each attempt at a call, from
// this node's own measurements and the loads in the responses it receives.
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

// New returns a balancer that draws its random numbers from random.
func New(config Config, random *rand.Rand) *Balancer {
	return &Balancer{core: newCore(config, random)}
}

// Configure replaces the configuration. The instances keep their measurements.
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

// Pick chooses the instance for an attempt and counts the attempt as outstanding there
// until Done. It fails with NoInstance when no eligible instance is left that the request
// does not exclude; see ReadyCount for which are eligible. It fails with Overloaded when
// each of those left is known to shed the request's level and no level probe is due, and
// for a hedge when the hedge limit is reached.
func (b *Balancer) Pick(now time.Time, r PickRequest) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.pick(now, r)
}

// Done reports the outcome of an attempt. It must be called exactly once for every
// successful Pick.
func (b *Balancer) Done(now time.Time, c Choice, f Feedback) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.done(now, c, f)
}

// HedgeDelay returns the delay after which a call of this kind may be hedged. It returns
// false when too few latencies are known, fewer than two instances are eligible, the
// hedge limit is reached, an eligible instance is known to shed calls or
// Config.RoundRobin is set. The hedge itself is a Pick with Hedge set.
func (b *Balancer) HedgeDelay(now time.Time, kind string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.hedgeDelay(now, kind)
}

// LatencyQuantile returns the q-quantile of a kind's recent latencies, with q from 0 to
// 1, and false while too few are known.
func (b *Balancer) LatencyQuantile(now time.Time, kind string, q float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.core.kinds.get(now, kind)
	if k.recent.total < hedgeMinSamples {
		return 0, false
	}
	return k.recent.quantile(q), true
}

// Busy reports whether any eligible instance is shedding calls or has no free slot, as
// far as this node knows.
func (b *Balancer) Busy(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.busy(now)
}

// ReadyCount returns the number of eligible instances whose IDs are not in exclude.
// Eligible are the instances of this node's region that are not draining, ejected ones
// included, or those of all other regions when it has none. The retry decision uses the
// result as the number of instances without an attempt.
func (b *Balancer) ReadyCount(exclude []string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.eligibleCount(exclude)
}

// Ejected returns the IDs of the instances that are ejected as stragglers, nil when
// there are none.
func (b *Balancer) Ejected() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ejectedIDs()
}
