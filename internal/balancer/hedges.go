package balancer

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
)

const (
	// hedgeFraction is the largest fraction of the calls that are hedged, and hedgeBurst
	// the number of hedges allowed in quick succession.
	hedgeFraction = 0.01
	hedgeBurst    = 5.0
	// hedgeQuantile is the quantile of the kind's latencies after which a call is hedged.
	hedgeQuantile = 0.98
	// hedgeMinSamples is the number of recent latencies needed for a quantile.
	hedgeMinSamples = 50
)

// hedgeLimit is a token bucket to which each call adds hedgeFraction of a token and from
// which each hedge takes one.
type hedgeLimit struct {
	tokens float64
}

func (l *hedgeLimit) addCall() {
	l.tokens = min(hedgeBurst, l.tokens+hedgeFraction)
}

// take takes the token for one hedge and reports whether there was one.
func (l *hedgeLimit) take() bool {
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// busy reports whether any eligible instance sheds calls or has no free slot.
func (c *core) busy(now time.Time) bool {
	for _, s := range c.eligible {
		if s.knownLevel(now) != (admission.Level{}) || s.queueing(now) {
			return true
		}
	}
	return false
}

// hedgeDelay returns the delay after which a call of this kind may be hedged, and false
// when it may not be hedged. While an instance sheds calls, a hedge would only add to
// the load of the service.
func (c *core) hedgeDelay(now time.Time, kind string) (time.Duration, bool) {
	if c.config.RoundRobin || c.hedges.tokens < 1 || len(c.eligible) < 2 {
		return 0, false
	}
	for _, s := range c.eligible {
		if s.knownLevel(now) != (admission.Level{}) {
			return 0, false
		}
	}
	k := c.kinds.get(now, kind)
	if k.recent.total < hedgeMinSamples {
		return 0, false
	}
	return k.recent.quantile(hedgeQuantile), true
}
