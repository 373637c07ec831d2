package admission

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

type ticketState uint8

const (
	waiting ticketState = iota
	running
	refused
	finished
)

// ticket is one call known to the core.
type ticket struct {
	request Request
	kind    *kindStats
	// sequence breaks ties between calls of equal level: first come, first served.
	sequence uint64
	state    ticketState
	entered  time.Time
	granted  time.Time
	// expires is when the call leaves the queue, with expiryCode.
	expires    time.Time
	expiryCode resultcode.Code
	// code says why the call was refused, service what its kind was expected to
	// take then.
	code    resultcode.Code
	service time.Duration
	// settled is closed by the controller when a waiting call runs or is refused.
	settled chan struct{}
}

// before reports whether t is served before u.
func (t *ticket) before(u *ticket) bool {
	a, b := t.request.level(), u.request.level()
	if a != b {
		return b.Below(a)
	}
	return t.sequence < u.sequence
}
