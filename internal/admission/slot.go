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

// Waited returns the time that the call spent in the queue.
func (s *Slot) Waited() time.Duration {
	return s.ticket.granted.Sub(s.ticket.entered)
}
