package mesh

import (
	"math"
	"sync"
	"time"
)

// rateLimit is the limit that an upstream states, with the calls passed on under it. It is
// safe for concurrent use.
type rateLimit struct {
	mu sync.Mutex
	// perSecond is the limit of the latest response, +Inf when it stated none.
	perSecond float64
	// since is when the upstream began or ceased to state a limit, at first when it became
	// known.
	since time.Time
	// calls counts the calls passed on since then, retries those of them that were marked as
	// retries.
	calls, retries int64
}

// rateLimitChange is the beginning or the end of a time in which an upstream states a limit.
// The other fields describe the time before it.
type rateLimitChange struct {
	began          bool
	duration       time.Duration
	calls, retries int64
}

func newRateLimit(now time.Time) *rateLimit {
	return &rateLimit{perSecond: math.Inf(1), since: now}
}

// observe applies the limit of a response. It returns a change when the upstream begins or
// ceases to state a limit. A limit that cannot be read leaves the known one in force.
func (l *rateLimit) observe(now time.Time, perSecond float64) (rateLimitChange, bool) {
	if math.IsNaN(perSecond) {
		return rateLimitChange{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.limited()
	l.perSecond = perSecond
	if l.limited() == before {
		return rateLimitChange{}, false
	}
	change := rateLimitChange{began: !before, duration: now.Sub(l.since), calls: l.calls, retries: l.retries}
	l.since, l.calls, l.retries = now, 0, 0
	return change, true
}

// countCall counts a call that is passed on to the upstream.
func (l *rateLimit) countCall(retry bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if retry {
		l.retries++
	}
}

func (l *rateLimit) limited() bool {
	return !math.IsInf(l.perSecond, 1)
}
