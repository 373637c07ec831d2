package admission

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Slot is the right to run one call.
type Slot struct {
	controller *Controller
	ticket     *ticket
}

// Release releases the slot. It must be called exactly once, with what is known about
// the execution of the call. The controller learns from it about the service time of the
// kind; see core.learn.
func (s *Slot) Release(execution resultcode.Execution) {
	s.controller.release(s.ticket, execution)
}

// NestedCallShed records that a nested call of this call ended with the refusal
// Overloaded or DeadlineInsufficient, after all moves and retries. If the outcome of this
// call is then Unknown, as it is after an error response of the upstream, the level below
// which root requests of its kind are refused on arrival rises. NestedCallShed must be
// called before Release.
func (s *Slot) NestedCallShed() {
	s.controller.nestedCallShed(s.ticket)
}

// Failed records that the upstream responded with an error, whose duration says nothing about its
// capacity. It must be called before Release.
func (s *Slot) Failed() {
	s.controller.failed(s.ticket)
}

// NestedCall records that the upstream began a nested call for this call, or that it ended: the
// call waits meanwhile.
func (s *Slot) NestedCall(begins bool) {
	if s.ticket.learned != nil {
		s.controller.nestedCall(s.ticket, begins)
	}
}

// QueueTime returns the time that the call spent in the queue.
func (s *Slot) QueueTime() time.Duration {
	return s.ticket.grantedAt.Sub(s.ticket.arrivedAt)
}
