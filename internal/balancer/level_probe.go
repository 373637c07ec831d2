package balancer

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
)

// levelProbeInterval is about how often a call below every known level is let
// through, so that a level that fell is noticed before it expires.
const levelProbeInterval = 50 * time.Millisecond

// levelProbe chooses the calls that are let through. A probe may run, so it has to
// be as important as the calls that are refused: probes chosen by chance made an
// instance run background calls while normal ones were refused.
type levelProbe struct {
	window time.Time
	// best is the highest level refused in this window, target that of the last.
	best, target admission.Level
	sent         bool
}

// allow reports whether the call is let through as a probe.
func (p *levelProbe) allow(now time.Time, l admission.Level) bool {
	if now.Sub(p.window) >= levelProbeInterval {
		p.window = now
		p.target = p.best
		p.best = admission.Level{}
		p.sent = false
	}
	if p.best.Below(l) {
		p.best = l
	}
	if p.sent || l.Below(p.target) {
		return false
	}
	p.sent = true
	return true
}
