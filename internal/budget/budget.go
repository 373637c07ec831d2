// Package budget bounds the repeats that this node sends to each service, so
// that those of all nodes together stay within the operators' bound without the
// nodes talking to each other.
package budget

import (
	"math"
	"sync"
	"time"
)

const (
	// ratioPart is the part of the operators' ratio that is given out. The rest is
	// for calls below repeats, which count but cannot be held back.
	ratioPart = 0.6
	// slackPart is the part of the fixed allowance that is given out.
	slackPart = 0.5
	// reservePart is the part of the allowance that calls of the lowest standing
	// leave. It is below one, so that they get repeats while there are plenty.
	reservePart = 0.9
)

// Bounds are the operators' bounds for the repeats at one service.
type Bounds struct {
	// Ratio is the number of repeats for each first arrival.
	Ratio float64
	// Slack is the number of repeats allowed besides in one window, for all nodes.
	Slack float64
	// Window is the length of any span in which the bounds hold.
	Window time.Duration
}

// Budget holds an allowance for each service. It is safe for concurrent use.
type Budget struct {
	bounds Bounds

	mu       sync.Mutex
	nodes    int
	services map[string]*allowance
}

// allowance is a token bucket that first arrivals fill. It saves up at most what
// half a window earns besides this node's part of the slack, which also refills
// over a window.
type allowance struct {
	tokens float64
	filled time.Time
	// recent counts first arrivals and decays over a window.
	recent float64
}

// New returns a budget for a fleet of one node.
func New(bounds Bounds) *Budget {
	return &Budget{bounds: bounds, nodes: 1, services: make(map[string]*allowance)}
}

// SetBounds replaces the bounds.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// SetNodes says how many nodes share the slack.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

// capacity is this node's part of the slack. Half of it is the most the bucket
// holds and half refills within a window, so no window sees more than the part.
func (b *Budget) capacity() float64 {
	return slackPart * b.bounds.Slack / float64(b.nodes)
}

func (b *Budget) get(now time.Time, service string) *allowance {
	a, ok := b.services[service]
	if !ok {
		a = &allowance{tokens: b.capacity() / 2, filled: now}
		b.services[service] = a
	}
	refill := now.Sub(a.filled).Seconds() / b.bounds.Window.Seconds() * b.capacity() / 2
	a.tokens = min(a.tokens+max(0, refill), b.limit(a))
	a.recent *= math.Exp(-now.Sub(a.filled).Seconds() / b.bounds.Window.Seconds())
	a.filled = now
	return a
}

// RecordArrival counts the first arrival of a call.
func (b *Budget) RecordArrival(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(now, service)
	a.recent++
	a.tokens = min(a.tokens+ratioPart*b.bounds.Ratio, b.limit(a))
}

// limit bounds what is saved up. At least one repeat must fit.
func (b *Budget) limit(a *allowance) float64 {
	return max(1, b.capacity()/2+ratioPart*b.bounds.Ratio*a.recent/2)
}

// Charge counts a call below a repeat, which is one itself.
func (b *Budget) Charge(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(now, service)
	a.tokens = max(a.tokens-1, -b.limit(a))
}

// Take pays for one repeat and reports whether the allowance covered it. The
// standing of a call is from 0 to 1. Calls of the highest standing may empty the
// allowance, others must leave a part that grows as their standing falls. So when
// repeats are scarce they go to the same few roots, which then complete, instead
// of a part of the calls of every root, which all fail.
func (b *Budget) Take(now time.Time, service string, standing float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.get(now, service)
	reserve := (b.limit(a) - 1) * reservePart * (1 - standing)
	if a.tokens < 1+reserve {
		return false
	}
	a.tokens--
	return true
}
