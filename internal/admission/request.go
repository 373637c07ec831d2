package admission

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Request is a call that asks for a slot.
type Request struct {
	Kind     string
	Priority call.Priority
	// Rank orders requests of equal priority; higher ranks are served first.
	Rank uint32
	// Depth is the number of hops from the root request, which has depth zero. That nested
	// calls would be shed is a reason to refuse a root request, but no other call.
	Depth uint8
	// Deadline is the zero time for a call without a deadline.
	Deadline time.Time
}

// level returns the request's own priority and rank, for comparison with the level below
// which calls are shed.
func (r Request) level() Level {
	return Level{Priority: r.Priority, Rank: r.Rank}
}
