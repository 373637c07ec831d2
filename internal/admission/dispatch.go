package admission

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/invariant"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// dispatch grants a slot to each queued call that next returns, until next returns nil. A
// call that has expired is shed instead, unless admission control is disabled.
func (c *core) dispatch(now time.Time) {
	for {
		t := c.next(now)
		if t == nil {
			return
		}
		c.remove(t)
		if !now.Before(t.expiresAt) && !c.config.Disabled {
			c.shed(t, t.expiryCode)
			continue
		}
		c.grant(now, t)
		c.decided = append(c.decided, t)
	}
}

// next returns the first queued call for which a slot is free, nil when there is none or when
// the rate limit allows none. When admission control is disabled, it returns the first queued
// call.
func (c *core) next(now time.Time) *ticket {
	if !c.config.Disabled && !c.rate.ready(now) {
		return nil
	}
	return c.nextForSlot()
}

// nextForSlot is next without the rate limit.
func (c *core) nextForSlot() *ticket {
	short, long := c.short.first(), c.long.first()
	if c.config.Disabled {
		return earlier(short, long)
	}
	if c.running >= c.slots() {
		return nil
	}
	if c.longRunning >= c.limits().longSlotLimit() {
		return short
	}
	return earlier(short, long)
}

// earlier returns the one of a and b that would be served first. Either may be nil.
func earlier(a, b *ticket) *ticket {
	if a == nil || (b != nil && b.before(a)) {
		return b
	}
	return a
}

// grant starts t. It checks as invariants that a slot is free for t and that t precedes
// every queued call that could run.
func (c *core) grant(now time.Time, t *ticket) {
	if !c.config.Disabled {
		invariant.Check(c.running < c.slots(), "admission slots",
			"%d calls hold a slot, want at most %d", c.running+1, c.slots())
		invariant.Check(!t.kind.long || c.longRunning < c.limits().longSlotLimit(), "admission long share",
			"%d calls of long kinds hold a slot, want at most %d", c.longRunning+1, c.limits().longSlotLimit())
		invariant.Check(c.rate.ready(now), "admission rate limit", "a call starts beyond the limit of %g a second", c.rate.perSecond)
		if first := c.next(now); first != nil {
			invariant.Check(t.before(first), "admission order",
				"%+v is granted a slot before %+v, which is queued and could run", t.request, first.request)
		}
	}
	c.start(now, t)
}

// start gives t a slot without any check.
func (c *core) start(now time.Time, t *ticket) {
	t.state = running
	t.grantedAt = now
	c.running++
	if t.kind.long {
		c.longRunning++
	}
	t.kind.recordStart(now)
	c.rate.take(now)
	if c.capacity != nil {
		t.learned = c.capacity.Start(now, t.request.Kind)
	}
	if c.running >= c.slots() || !c.rate.ready(now) {
		c.level.saturated = true
	}
}

// refuse refuses t without counting it as shed. A t that was queued must already be
// removed from its queue.
func (c *core) refuse(t *ticket, code resultcode.Code) {
	wasQueued := !t.expiresAt.IsZero()
	t.state = refused
	t.code = code
	t.expectedServiceTime = t.kind.expectedServiceTime()
	if wasQueued {
		c.decided = append(c.decided, t)
	}
}

// shed refuses t and counts it as shed.
func (c *core) shed(t *ticket, code resultcode.Code) {
	c.countShed(t)
	c.refuse(t, code)
}

// countShed counts a shed call for the level. It ignores long kinds: they are shed
// because of their own limit, and a level that followed them would refuse short calls
// although slots are free.
func (c *core) countShed(t *ticket) {
	if !t.kind.long {
		c.level.recordShed(t.request.level())
	}
}

// classify divides the kinds into short and long, at most once per classifyInterval.
// When a kind changes its class, its running and queued calls change with it.
func (c *core) classify(now time.Time) {
	if now.Sub(c.lastClassified) < classifyInterval {
		return
	}
	c.lastClassified = now
	if !c.kinds.classify(now) {
		return
	}
	c.longRunning = 0
	for _, s := range c.kinds.kinds {
		if s.long {
			c.longRunning += s.running
		}
	}
	c.requeue()
	c.dispatch(now)
}

// requeue inserts every queued call into the queue of its kind's class.
func (c *core) requeue() {
	all := append(c.short.tickets, c.long.tickets...)
	c.short, c.long = queue{}, queue{}
	for _, t := range all {
		c.queueOf(t).insert(t)
	}
}

func (c *core) queueOf(t *ticket) *queue {
	if t.kind.long {
		return &c.long
	}
	return &c.short
}

// remove removes a queued t from the queue of its kind's class. It returns false, and
// reports a violated invariant, when t is not there.
func (c *core) remove(t *ticket) bool {
	removed := c.queueOf(t).remove(t)
	if removed {
		t.kind.queued--
	}
	return invariant.Check(removed, "admission queue membership", "queued ticket %d is not in its queue", t.sequence)
}

func (c *core) queued() int {
	return c.short.length() + c.long.length()
}

// lowest returns the queued call that would be served last, nil when none is queued.
func (c *core) lowest() *ticket {
	short, long := c.short.last(), c.long.last()
	if short == nil || (long != nil && short.before(long)) {
		return long
	}
	return short
}
