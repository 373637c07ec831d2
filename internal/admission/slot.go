package admission

import "github.com/mustardwing/mustardwing/internal/resultcode"

// Slot is the right to run one call.
type Slot struct {
	controller *Controller
}

// Release returns the slot. Only calls that were run teach the controller
// their kind's service time.
func (s *Slot) Release(_ resultcode.Execution) {
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	s.controller.running--
}
