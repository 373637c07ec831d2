package admission

import "time"

const (
	// rateBurst is the time whose calls may start at once after a pause.
	rateBurst = 500 * time.Millisecond
	// minRate is the lowest rate, in calls per second, that a rate limit is applied as. Only
	// the response to a call can show that the upstream has lifted its limit.
	minRate = 0.5
)

// rateGate bounds how many calls start per second. It is a token bucket that holds the calls
// of rateBurst, and one call at least. The zero value sets no limit.
type rateGate struct {
	limited bool
	// perSecond is the limit as the upstream states it.
	perSecond float64
	// tokens is the number of calls that may start now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// set puts a limit in force. The bucket is empty at the beginning of a limit.
func (g *rateGate) set(now time.Time, perSecond float64) {
	if !g.limited {
		g.tokens, g.refilledAt = 0, now
	}
	g.refill(now)
	g.limited, g.perSecond = true, perSecond
	g.tokens = min(g.tokens, g.burst())
}

// clear ends the limit.
func (g *rateGate) clear() {
	*g = rateGate{}
}

// rate returns the number of tokens added per second.
func (g *rateGate) rate() float64 {
	return max(minRate, g.perSecond)
}

func (g *rateGate) burst() float64 {
	return max(1, g.rate()*rateBurst.Seconds())
}

func (g *rateGate) refill(now time.Time) {
	if !g.limited {
		return
	}
	elapsed := now.Sub(g.refilledAt).Seconds()
	g.tokens = min(g.burst(), g.tokens+max(0, elapsed)*g.rate())
	g.refilledAt = now
}

// ready reports whether a call may start now.
func (g *rateGate) ready(now time.Time) bool {
	return g.wait(now, 0) <= 0
}

// take counts a call that starts.
func (g *rateGate) take(now time.Time) {
	g.refill(now)
	if g.limited {
		g.tokens--
	}
}

// wait returns how long a call waits for its token if ahead other calls get theirs first.
func (g *rateGate) wait(now time.Time, ahead int) time.Duration {
	if !g.limited {
		return 0
	}
	g.refill(now)
	missing := float64(ahead+1) - g.tokens
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that the token is there when the wait is over.
	return time.Duration(missing/g.rate()*float64(time.Second)) + 1
}

// within returns how many calls may start from now until the end of the given period. The
// result may exceed any integer.
func (g *rateGate) within(now time.Time, period time.Duration) float64 {
	g.refill(now)
	return max(0, g.tokens+period.Seconds()*g.rate())
}
