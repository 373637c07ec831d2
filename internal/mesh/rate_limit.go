package mesh

import (
	"sync"
	"time"
)

// rateLimit is the limit that an upstream states, with the calls passed on under it. It is
// safe for concurrent use.
type rateLimit struct {
	// apply puts a limit in force; nil lifts it.
	apply func(perSecond *float64)

	mu sync.Mutex
	// perSecond is the limit in force, nil when there is none.
	perSecond *float64
	// stated is set once a response of the upstream has shown whether there is a limit.
	stated bool
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

func newRateLimit(now time.Time, apply func(*float64)) *rateLimit {
	return &rateLimit{apply: apply, since: now}
}

// observe applies what a response states. It returns a change when a limit begins or ends. The
// limit in force stays if the response states one that cannot be read, or is a failure that
// states none, since an upstream in trouble may fail before it gets to state its limit.
func (l *rateLimit) observe(now time.Time, n Notice, failure bool) (rateLimitChange, bool) {
	if n.UnreadableRateLimit || failure && n.RateLimit == nil {
		return rateLimitChange{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stated = true
	return l.set(now, n.RateLimit)
}

// adopt applies the limit that another node has learned, unless a response of the upstream has
// shown since the start of this node whether there is one.
func (l *rateLimit) adopt(now time.Time, perSecond *float64) (rateLimitChange, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stated || perSecond == nil {
		return rateLimitChange{}, false
	}
	return l.set(now, perSecond)
}

// set puts a limit in force. The lock must be held.
func (l *rateLimit) set(now time.Time, perSecond *float64) (rateLimitChange, bool) {
	before := l.perSecond
	if before == nil && perSecond == nil || before != nil && perSecond != nil && *before == *perSecond {
		return rateLimitChange{}, false
	}
	l.perSecond = perSecond
	l.apply(perSecond)
	if before != nil && perSecond != nil {
		return rateLimitChange{}, false
	}
	change := rateLimitChange{began: before == nil, duration: now.Sub(l.since), calls: l.calls, retries: l.retries}
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
