package call

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// MaxDepth is the largest number of hops from the root request.
const MaxDepth = 32

// Metadata is what a node knows about one call.
type Metadata struct {
	// RequestID is the UUIDv7 of the root request.
	RequestID uuid.UUID
	// Attempt identifies one attempt at this call.
	Attempt uuid.UUID
	// Service is the name of the called service, Kind that of the kind of call.
	Service string
	Kind    string
	Priority
	// Deadline is on the local clock. Nodes send each other only the remaining time.
	Deadline time.Time
	// Allowance is what the call may spend on retries, moves and hedges, its nested calls
	// included.
	Allowance Allowance
	// Depth is the number of hops from the root request, whose depth is zero.
	Depth uint8
	// Lineage identifies this call within the call tree of its root request and is the
	// same on every attempt. The keys of nested calls are derived from it.
	Lineage uuid.UUID
	// Key is the idempotency key of a non-idempotent call and zero otherwise.
	Key uuid.UUID
	// Idempotent is set when the call may run more than once.
	Idempotent bool
}

// Rank orders requests of equal priority. Higher ranks are served first. It depends only
// on the root request, so all hops of a chain of nested calls prefer the same requests.
func (m Metadata) Rank() uint32 {
	return uint32(xxhash.Sum64(m.RequestID[:]))
}

// Remaining returns the time from now to the deadline. It is negative after the deadline.
func (m Metadata) Remaining(now time.Time) time.Duration {
	return m.Deadline.Sub(now)
}
