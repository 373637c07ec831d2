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

// Release returns the slot, once. Calls that were run teach the controller their
// kind's service time.
func (s *Slot) Release(run resultcode.Execution) {
	s.controller.release(s.ticket, run)
}

// NestedCallShed notes that a call which the upstream made for this one was finally
// refused as Overloaded or DeadlineInsufficient. If the upstream then fails the
// call too, calls of its kind and level are refused on arrival for a while. Call
// it before Release.
func (s *Slot) NestedCallShed() {
	s.controller.childShed(s.ticket)
}

// QueueTime returns the time that the call spent in the queue.
func (s *Slot) QueueTime() time.Duration {
	return s.ticket.granted.Sub(s.ticket.entered)
}
