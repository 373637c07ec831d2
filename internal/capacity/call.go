package capacity

import "time"

// minDuration bounds the logarithms of calls that end at once.
const minDuration = 10 * time.Microsecond

// Call is one call that holds a slot.
type Call struct {
	estimator *Estimator
	kind      string
	// active is the time, in seconds, in which the call waited for no nested call, and concurrency the
	// integral of the active calls over this time. Both hold up to the latest start of a wait.
	active, concurrency float64
	// since and integral are the time and the integral of the active calls at the start of the
	// call or at the end of its latest wait.
	since    time.Time
	integral float64
	nested   int
	ended    bool
}

// Start counts a call that gets a slot.
func (e *Estimator) Start(now time.Time, kind string) *Call {
	e.Advance(now)
	e.advance(now)
	e.running++
	return &Call{estimator: e, kind: kind, since: now, integral: e.activeIntegral}
}

// Nested notes that a call began a nested call, or that one ended. While at least one is under
// way, the call counts as waiting. Nested does nothing for a call that has ended.
func (c *Call) Nested(now time.Time, begins bool) {
	e := c.estimator
	if c.ended || (!begins && c.nested == 0) {
		return
	}
	e.advance(now)
	switch {
	case begins && c.nested == 0:
		c.pause(now)
		e.waiting++
	case !begins && c.nested == 1:
		c.since, c.integral = now, e.activeIntegral
		e.waiting--
	}
	if begins {
		c.nested++
	} else {
		c.nested--
	}
}

// pause adds the time since the call last became active.
func (c *Call) pause(now time.Time) {
	c.active += now.Sub(c.since).Seconds()
	c.concurrency += c.estimator.activeIntegral - c.integral
}

// Finish ends a call. complete is set if its duration is that of a whole successful execution.
func (c *Call) Finish(now time.Time, complete bool) {
	e := c.estimator
	if c.ended {
		return
	}
	e.advance(now)
	c.ended = true
	if c.nested == 0 {
		c.pause(now)
	} else {
		e.waiting--
	}
	e.running--
	if complete {
		duration := max(c.active, minDuration.Seconds())
		e.slice.record(c.kind, duration, max(1, c.concurrency/duration))
	}
	e.Advance(now)
}
