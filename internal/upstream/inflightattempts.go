package upstream

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/call"
)

// InFlightAttempts holds the attempts that are in flight at the upstream. A nested
// call of the upstream finds its parent call in it. It is safe for concurrent use.
type InFlightAttempts struct {
	mu sync.Mutex
	// attempts holds the attempts by their attempt id.
	attempts map[uuid.UUID]*ParentCall
}

// NewInFlightAttempts returns an InFlightAttempts without attempts.
func NewInFlightAttempts() *InFlightAttempts {
	return &InFlightAttempts{attempts: make(map[uuid.UUID]*ParentCall)}
}

// Add adds an attempt and returns false if it is already in flight. callerContext
// is cancelled when the caller of the attempt has disconnected; that cancels its
// nested calls too. onNestedCallShed is called for each nested call that is finally
// refused for lack of capacity or time; it may be nil.
func (a *InFlightAttempts) Add(callerContext context.Context, m call.Metadata, onNestedCallShed func()) (*ParentCall, bool) {
	p := &ParentCall{Metadata: m, CallerContext: callerContext, onNestedCallShed: onNestedCallShed}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, exists := a.attempts[m.Attempt]; exists {
		return nil, false
	}
	a.attempts[m.Attempt] = p
	return p, true
}

// Remove removes an attempt.
func (a *InFlightAttempts) Remove(attempt uuid.UUID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.attempts, attempt)
}

// Find returns an attempt and whether it is in flight.
func (a *InFlightAttempts) Find(attempt uuid.UUID) (*ParentCall, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.attempts[attempt]
	return p, ok
}

// ParentCall is an in-flight attempt as its nested calls see it.
type ParentCall struct {
	call.Metadata
	// CallerContext is cancelled when the caller of the attempt has disconnected.
	CallerContext context.Context

	onNestedCallShed  func()
	nestedCallWasShed atomic.Bool

	mu sync.Mutex
	// ordinals counts the nested calls so far by service and kind; nil before the first.
	ordinals map[nestedCallName]int
}

type nestedCallName struct {
	service, kind string
}

// NextLineage counts a nested call of a service and kind and returns its lineage, which
// identifies it in the call tree and is the same when the parent call runs again.
func (p *ParentCall) NextLineage(service, kind string) uuid.UUID {
	name := nestedCallName{service, kind}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordinals == nil {
		p.ordinals = make(map[nestedCallName]int)
	}
	ordinal := p.ordinals[name]
	p.ordinals[name] = ordinal + 1
	return call.NestedLineage(p.Lineage, service, kind, ordinal)
}

// NestedCallShed records that a nested call was finally refused for lack of
// capacity or time.
func (p *ParentCall) NestedCallShed() {
	p.nestedCallWasShed.Store(true)
	if p.onNestedCallShed != nil {
		p.onNestedCallShed()
	}
}

// NestedCallWasShed reports whether a nested call was finally refused for lack of
// capacity or time.
func (p *ParentCall) NestedCallWasShed() bool {
	return p.nestedCallWasShed.Load()
}
