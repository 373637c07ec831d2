package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
)

// inFlightCall is a call that the local upstream is running. Nested calls that
// the upstream makes meanwhile inherit from it.
type inFlightCall struct {
	hop
	deadline time.Time
	// earlier is another call with the same id that began before and still runs, nil if there is none.
	// It is guarded by the lock of InFlightCalls.
	earlier *inFlightCall
	// slot is the slot that the call holds, nil in a call that holds none.
	slot *admission.Slot
	// nestedShed is set once a nested call was refused for want of capacity or
	// time.
	nestedShed atomic.Bool
	// nestedRefused is set once a nested call was not run for any reason, or
	// not retried because the retry budget denied it.
	nestedRefused atomic.Bool
	// nestedCalls is the number of nested calls made so far.
	nestedCalls atomic.Int32
}

// noteNestedRefusal records that a nested call of r was not run, or not retried because
// the retry budget denied it. r is nil when that call is a root request, which has no
// parent call; then nothing is recorded.
func (r *inFlightCall) noteNestedRefusal() {
	if r != nil {
		r.nestedRefused.Store(true)
	}
}

// noteNestedShed records that a nested call of r was refused for want of capacity or time,
// and reports the first one to the slot. r is nil when that call is a root request.
func (r *inFlightCall) noteNestedShed() {
	if r != nil && !r.nestedShed.Swap(true) {
		r.slot.NestedCallShed()
	}
}

// beginNested records that the call waits for a nested call until endNested. r is nil when that
// call is a root request.
func (r *inFlightCall) beginNested() {
	if r != nil && r.slot != nil {
		r.slot.NestedCall(true)
	}
}

func (r *inFlightCall) endNested() {
	if r != nil && r.slot != nil {
		r.slot.NestedCall(false)
	}
}

// InFlightCalls holds the calls that the local upstream is running, by the id
// of the call. It is safe for concurrent use.
type InFlightCalls struct {
	mu    sync.Mutex
	calls map[string]*inFlightCall
	// fanOuts holds the number of nested calls that calls of each kind make.
	fanOuts fanOuts
}

// NewInFlightCalls returns an empty table.
func NewInFlightCalls() *InFlightCalls {
	return &InFlightCalls{calls: make(map[string]*inFlightCall), fanOuts: make(fanOuts)}
}

func (t *InFlightCalls) add(r *inFlightCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.earlier = t.calls[r.ID]
	t.calls[r.ID] = r
}

// remove deletes r. An earlier call with the same id that still runs takes its place.
func (t *InFlightCalls) remove(r *inFlightCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.calls[r.ID]
	if latest == r {
		if r.earlier == nil {
			delete(t.calls, r.ID)
		} else {
			t.calls[r.ID] = r.earlier
		}
		return
	}
	for c := latest; c != nil; c = c.earlier {
		if c.earlier == r {
			c.earlier = r.earlier
		}
	}
}

// beginNested counts a nested call of parent and returns how many nested calls parent
// probably still makes, with this one.
func (t *InFlightCalls) beginNested(parent *inFlightCall) int {
	before := int(parent.nestedCalls.Add(1)) - 1
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fanOuts.remaining(parent.Kind, before)
}

// recordRun records how many nested calls a call that succeeded has made.
func (t *InFlightCalls) recordRun(r *inFlightCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fanOuts.observe(r.Kind, int(r.nestedCalls.Load()))
}

// find returns the call with an id, nil when there is none.
func (t *InFlightCalls) find(id string) *inFlightCall {
	if id == "" {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls[id]
}
