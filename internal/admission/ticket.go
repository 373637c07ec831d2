package admission

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/capacity"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// ticketState is the progress of a call. queued and running are the states of
// in-flight calls; the other two are final.
type ticketState uint8

const (
	queued ticketState = iota
	running
	refused
	finished
)

// ticket is the state of one call, from its arrival until it is finished or refused.
type ticket struct {
	request Request
	kind    *kindStats
	// sequence orders calls of equal level: first come, first served.
	sequence  uint64
	state     ticketState
	arrivedAt time.Time
	grantedAt time.Time
	// expiresAt is when a queued call is shed with expiryCode, the zero time for a call
	// that was never queued.
	expiresAt  time.Time
	expiryCode resultcode.Code
	// code is the reason for a refusal. expectedServiceTime is the expected service time
	// of the kind at the time of the refusal.
	code                resultcode.Code
	expectedServiceTime time.Duration
	// learned is the call as internal/capacity sees it, nil while the capacity is not learned.
	learned *capacity.Call
	// failed is set when the upstream responded with an error.
	failed bool
	// nestedCallShed is set when a nested call of this call was shed.
	nestedCallShed bool
	// decided is closed by the controller when a queued call is granted a slot or
	// refused. It is nil for a call that was not queued.
	decided chan struct{}
}

// before reports whether t is served before u.
func (t *ticket) before(u *ticket) bool {
	a, b := t.request.level(), u.request.level()
	if a != b {
		return b.Below(a)
	}
	return t.sequence < u.sequence
}
