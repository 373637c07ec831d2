package peer

import (
	"sync/atomic"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Counts holds, for each priority, the number of calls that a node's upstream responded
// to and the number of calls that the node shed, since the start of the node. It is safe
// for concurrent use.
type Counts struct {
	answered, shed [call.PriorityCount]atomic.Uint64
}

// Answered returns the number of calls of a priority to which the upstream sent a
// response.
func (c *Counts) Answered(p call.Priority) uint64 {
	return c.answered[p].Load()
}

// Shed returns the number of calls of a priority that were refused for lack of
// capacity or time.
func (c *Counts) Shed(p call.Priority) uint64 {
	return c.shed[p].Load()
}

// count counts a call that ended with the given code. It ignores codes that mean neither
// a response of the upstream nor a shed call.
func (c *Counts) count(p call.Priority, code resultcode.Code) {
	switch code {
	case resultcode.OK:
		c.answered[p].Add(1)
	case resultcode.Overloaded, resultcode.DeadlineInsufficient:
		c.shed[p].Add(1)
	}
}
