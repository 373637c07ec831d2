package balancer

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
)

const (
	// hedgeFraction limits hedges to this fraction of the calls, and hedgeBurst is the
	// number of hedges allowed in quick succession.
	hedgeFraction = 0.01
	hedgeBurst    = 5.0
	// hedgeQuantile is the latency quantile of its kind after which a call is hedged.
	hedgeQuantile = 0.98
	// hedgeMinSamples is the number of recent latencies needed for a quantile.
	hedgeMinSamples = 50
)

// hedgeLimit is a token bucket that calls fill and hedges empty.
type hedgeLimit struct {
	tokens float64
}

func (l *hedgeLimit) addCall() {
	l.tokens = min(hedgeBurst, l.tokens+hedgeFraction)
}

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
// when it may not. While an instance sheds calls, a hedge would only add to its load.
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
