package admission

import (
	"fmt"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Level orders requests by priority, then by rank. A request below an
// instance's level is likely to be shed there.
type Level struct {
	Priority call.Priority
	Rank     uint32
}

// Below reports whether a request of level l is shed before one of level m.
func (l Level) Below(m Level) bool {
	if l.Priority != m.Priority {
		return l.Priority < m.Priority
	}
	return l.Rank < m.Rank
}

// Load is the load that an instance reports on each response.
type Load struct {
	// Running is the number of calls that hold a slot, Queued that of the calls that
	// wait for one, and Slots that of the calls that the upstream runs at a time.
	Running, Queued, Slots int
	// Level is the level below which the instance recently shed calls. The zero level
	// admits every call.
	Level Level
}

// String formats the load for the Mustardwing-Load header.
func (l Load) String() string {
	return fmt.Sprintf("running=%d,queued=%d,slots=%d,level=%d:%d", l.Running, l.Queued, l.Slots, l.Level.Priority, l.Level.Rank)
}

// ParseLoad parses the value of the Mustardwing-Load header. It fails unless s has all
// fields in the order of Load.String. It ignores what follows the last field.
func ParseLoad(s string) (Load, error) {
	var l Load
	_, err := fmt.Sscanf(s, "running=%d,queued=%d,slots=%d,level=%d:%d", &l.Running, &l.Queued, &l.Slots, &l.Level.Priority, &l.Level.Rank)
	return l, err
}
