package admission

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/invariant"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// dispatch runs waiting calls while slots are free.
func (c *core) dispatch(now time.Time) {
	for {
		t := c.next()
		if t == nil {
			return
		}
		c.remove(t)
		if !now.Before(t.expires) && !c.config.Disabled {
			c.shed(t, t.expiryCode)
			continue
		}
		c.grant(now, t)
		c.settled = append(c.settled, t)
	}
}

// next returns the first waiting call for which a slot is free.
func (c *core) next() *ticket {
	short, long := c.short.first(), c.long.first()
	if c.config.Disabled {
		return earlier(short, long)
	}
	if c.running >= c.config.Slots {
		return nil
	}
	if c.longCount >= c.config.longLimit() {
		return short
	}
	return earlier(short, long)
}

func earlier(a, b *ticket) *ticket {
	if a == nil || (b != nil && b.before(a)) {
		return b
	}
	return a
}

// grant runs t after checking that this is allowed and passes nobody over.
func (c *core) grant(now time.Time, t *ticket) {
	if !c.config.Disabled {
		invariant.Check(c.running < c.config.Slots, "admission slots",
			"%d calls run, want at most %d", c.running+1, c.config.Slots)
		invariant.Check(!t.kind.long || c.longCount < c.config.longLimit(), "admission long share",
			"%d long calls run, want at most %d", c.longCount+1, c.config.longLimit())
		if first := c.next(); first != nil {
			invariant.Check(t.before(first), "admission order",
				"%+v is granted before %+v, which waits and could run", t.request, first.request)
		}
	}
	c.start(now, t)
}

func (c *core) start(now time.Time, t *ticket) {
	t.state = running
	t.granted = now
	c.running++
	if t.kind.long {
		c.longCount++
	}
	t.kind.started(now)
	if c.running >= c.config.Slots {
		c.level.saturated = true
	}
}

// refuse turns t away without counting it as shed by load.
func (c *core) refuse(t *ticket, code resultcode.Code) {
	wasWaiting := !t.expires.IsZero()
	t.state = refused
	t.code = code
	t.service = t.kind.expected()
	if wasWaiting {
		c.settled = append(c.settled, t)
	}
}

func (c *core) shed(t *ticket, code resultcode.Code) {
	c.level.refuse(t.request.level())
	c.refuse(t, code)
}

// classify divides the kinds into short and long from time to time. When a kind
// changes sides, its running and waiting calls change with it.
func (c *core) classify(now time.Time) {
	if now.Sub(c.classified) < classifyInterval {
		return
	}
	c.classified = now
	if !c.kinds.classify(now) {
		return
	}
	c.longCount = 0
	for _, s := range c.kinds.kinds {
		if s.long {
			c.longCount += s.running
		}
	}
	c.requeue()
	c.dispatch(now)
}

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

func (c *core) remove(t *ticket) bool {
	removed := c.queueOf(t).remove(t)
	if removed {
		t.kind.waiting--
	}
	return invariant.Check(removed, "admission queue membership", "waiting ticket %d is not in its queue", t.sequence)
}

func (c *core) waiting() int {
	return c.short.length() + c.long.length()
}

// lowest returns the waiting call that is served last, nil when none waits.
func (c *core) lowest() *ticket {
	short, long := c.short.last(), c.long.last()
	if short == nil || (long != nil && short.before(long)) {
		return long
	}
	return short
}
