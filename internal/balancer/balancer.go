// Package balancer chooses the upstream instance for each attempt at a call,
// from what this node sees itself.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Config holds the settings of one service as seen by one node.
type Config struct {
	// Region of this node; other regions are used only when it has no instance.
	Region         string
	StragglerShare float64
	RampUp         time.Duration
	// RoundRobin ignores all measurements; it is the baseline.
	RoundRobin bool
}

// Balancer chooses among the instances of one service. It is safe for concurrent use.
type Balancer struct {
	mu        sync.Mutex
	random    *rand.Rand
	instances []Instance
}

// New returns a balancer that takes its randomness from random.
func New(_ Config, random *rand.Rand) *Balancer {
	return &Balancer{random: random}
}

// Configure replaces the settings.
func (b *Balancer) Configure(_ Config) {}

// SetInstances replaces the list of instances.
func (b *Balancer) SetInstances(_ time.Time, all []Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = slices.Clone(all)
}

// Pick chooses an instance. It fails with NoInstance, or with Overloaded when
// every candidate is known to shed the request's level.
func (b *Balancer) Pick(now time.Time, r PickRequest) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []Instance
	for _, i := range b.instances {
		if !i.Draining && !slices.Contains(r.Exclude, i.ID) {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return Choice{}, resultcode.New(resultcode.NoInstance, "no ready instance")
	}
	return Choice{Instance: ready[b.random.IntN(len(ready))], Kind: r.Kind, Started: now}, nil
}

// Done reports the end of an attempt. Every Pick is followed by one Done.
func (b *Balancer) Done(_ time.Time, _ Choice, _ Feedback) {}

// HedgeDelay returns how long to wait before a hedge of this kind, and false
// when too little is known or the hedge limit is reached.
func (b *Balancer) HedgeDelay(_ time.Time, _ string) (time.Duration, bool) {
	return 0, false
}
