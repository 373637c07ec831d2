package balancer

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
)

// levelProbeInterval is about how often a call below the known level of every instance
// is sent as a level probe, so that a lower level is noticed before the known one
// expires.
const levelProbeInterval = 50 * time.Millisecond

// levelProbe chooses the calls that are sent as level probes while all instances shed
// calls of their priority and rank. A level probe may run, so it must be at least as
// important as the calls that are refused meanwhile: probes chosen at random made an
// instance run background calls while normal ones were refused.
type levelProbe struct {
	// windowStart is the start of this window, which lasts levelProbeInterval or longer.
	windowStart time.Time
	// highest is the highest priority and rank of a call in this window, target that of
	// the window before.
	highest, target admission.Level
	// sent is set once this window has sent its probe.
	sent bool
}

// take records a call with the given priority and rank and reports whether it is sent as
// a level probe. The probe is the first call in each window that is not below the highest
// call of the window before.
func (p *levelProbe) take(now time.Time, own admission.Level) bool {
	if now.Sub(p.windowStart) >= levelProbeInterval {
		p.windowStart = now
		p.target = p.highest
		p.highest = admission.Level{}
		p.sent = false
	}
	if p.highest.Below(own) {
		p.highest = own
	}
	if p.sent || own.Below(p.target) {
		return false
	}
	p.sent = true
	return true
}
