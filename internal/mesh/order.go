package mesh

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardwing/mustardwing/internal/call"
)

// level is the priority of a call in the queue of an upstream. A call that an
// upstream makes while it runs another goes first: refusing it would waste what
// was already done for the root request.
func (p hop) level() call.Priority {
	if p.Nested {
		return call.Critical
	}
	return min(p.Priority, call.High)
}

// rank orders calls of equal priority. Nested calls keep the order of arrival.
func (p hop) rank() uint32 {
	if p.Nested {
		return math.MaxUint32
	}
	return uint32(xxhash.Sum64String(p.ID))
}

func (p hop) depth() uint8 {
	if p.Nested {
		return 1
	}
	return 0
}
