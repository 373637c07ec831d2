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
	// Depth is the number of hops from the root request, which has depth zero.
	Depth uint8
	// Deadline is zero for a call without a deadline.
	Deadline time.Time
}

func (r Request) level() Level {
	return Level{Priority: r.Priority, Rank: r.Rank}
}
