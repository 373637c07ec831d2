package upstream

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/call"
)

// InFlightAttempts is the record of attempts that run at the upstream. An outgoing call
// of the upstream finds its parent in it. It is safe for concurrent use.
type InFlightAttempts struct {
	mu       sync.Mutex
	attempts map[uuid.UUID]*ParentCall
}

// NewInFlightAttempts returns an empty record.
func NewInFlightAttempts() *InFlightAttempts {
	return &InFlightAttempts{attempts: make(map[uuid.UUID]*ParentCall)}
}

// Add adds an attempt and returns false when it runs already. Abandoned ends
// when the call's own caller has gone; it stops the child calls too. ChildShed is
// called when a child call is finally shed; it may be nil.
func (r *InFlightAttempts) Add(abandoned context.Context, m call.Metadata, childShed func()) (*ParentCall, bool) {
	p := &ParentCall{Metadata: m, CallerContext: abandoned, childShed: childShed}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.attempts[m.Attempt]; exists {
		return nil, false
	}
	r.attempts[m.Attempt] = p
	return p, true
}

// Remove removes an attempt.
func (r *InFlightAttempts) Remove(attempt uuid.UUID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, attempt)
}

// Find returns the running attempt.
func (r *InFlightAttempts) Find(attempt uuid.UUID) (*ParentCall, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.attempts[attempt]
	return p, ok
}

// ParentCall is a running attempt as its child calls see it.
type ParentCall struct {
	call.Metadata
	CallerContext context.Context

	childShed func()
	shedBelow atomic.Bool

	mu       sync.Mutex
	ordinals map[childName]int
}

type childName struct {
	service, kind string
}

// NextLineage returns the lineage of the parent's next call of a service and
// kind.
func (p *ParentCall) NextLineage(service, kind string) uuid.UUID {
	name := childName{service, kind}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordinals == nil {
		p.ordinals = make(map[childName]int)
	}
	ordinal := p.ordinals[name]
	p.ordinals[name] = ordinal + 1
	return call.NestedLineage(p.Lineage, service, kind, ordinal)
}

// NestedCallShed notes that a child call was finally refused for want of capacity or
// time.
func (p *ParentCall) NestedCallShed() {
	p.shedBelow.Store(true)
	if p.childShed != nil {
		p.childShed()
	}
}

// NestedCallWasShed reports whether a child call was finally refused for want of
// capacity or time.
func (p *ParentCall) NestedCallWasShed() bool {
	return p.shedBelow.Load()
}
