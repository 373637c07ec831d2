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
	// Depth counts hops from the root, which is zero.
	Depth uint8
	// Deadline may be zero for a call without one.
	Deadline time.Time
}

func (r Request) level() Level {
	return Level{Priority: r.Priority, Rank: r.Rank}
}
