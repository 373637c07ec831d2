package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
)

// run is a call that the upstream beside this node runs now. Calls that the
// upstream makes meanwhile inherit from it.
type run struct {
	hop
	deadline time.Time
	slot     *admission.Slot
	// shedBelow is set once a call below was refused for want of capacity or time.
	shedBelow atomic.Bool
	// refusedBelow is set once a call below was not run, for whatever reason.
	refusedBelow atomic.Bool
}

// childRefused notes that a call which the upstream made for this run was not run, or
// not repeated for want of budget.
func (r *run) childRefused() {
	if r != nil {
		r.refusedBelow.Store(true)
	}
}

// childShed notes that a call which the upstream made for this run was refused.
func (r *run) childShed() {
	if r != nil && !r.shedBelow.Swap(true) {
		r.slot.NestedCallShed()
	}
}

// InFlightCalls holds the runs of the upstream beside this node by the id of the call.
// It is safe for concurrent use.
type InFlightCalls struct {
	mu   sync.Mutex
	runs map[string]*run
}

// NewInFlightCalls returns an empty table.
func NewInFlightCalls() *InFlightCalls {
	return &InFlightCalls{runs: make(map[string]*run)}
}

func (t *InFlightCalls) add(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r.ID] = r
}

// remove deletes r unless another run of the same call has replaced it.
func (t *InFlightCalls) remove(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[r.ID] == r {
		delete(t.runs, r.ID)
	}
}

// find returns the run with an id, nil when there is none.
func (t *InFlightCalls) find(id string) *run {
	if id == "" {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}
