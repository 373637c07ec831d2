package admission

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/invariant"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// classifyInterval is how often kinds are divided into short and long.
const classifyInterval = 100 * time.Millisecond

// core decides which calls run. It does no I/O, reads no clock and is not safe
// for concurrent use; Controller adds locking and waiting.
type core struct {
	config     Config
	kinds      *kindTable
	short      queue
	long       queue
	running    int
	longCount  int // running calls of long kinds
	sequence   uint64
	level      levelTracker
	classified time.Time
	// settled collects waiting calls that now run or were refused, until the
	// controller wakes them.
	settled []*ticket
}

func newCore(config Config) *core {
	return &core{config: config, kinds: newKindTable()}
}

// enter decides about a new call: it runs, waits or is refused at once.
func (c *core) enter(now time.Time, r Request) *ticket {
	c.classify(now)
	c.sequence++
	t := &ticket{request: r, kind: c.kinds.get(now, r.Kind), sequence: c.sequence, entered: now}
	if !t.kind.long {
		c.level.arrive(now, r.level())
	}
	if c.config.Disabled {
		c.start(now, t)
		return t
	}
	if r.Depth == 0 && t.kind.child.refuses(now, r.level()) {
		c.refuse(t, resultcode.Overloaded)
		return t
	}
	if !c.timeSuffices(now, t) {
		c.refuse(t, resultcode.DeadlineInsufficient)
		return t
	}
	if c.mayRun(t) {
		c.grant(now, t)
		return t
	}
	c.enqueue(now, t)
	return t
}

// timeSuffices reports whether the remaining time covers the expected wait and
// the expected service time.
func (c *core) timeSuffices(now time.Time, t *ticket) bool {
	if t.request.Deadline.IsZero() {
		return true
	}
	remaining := t.request.Deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	service := t.kind.expected()
	free := c.mayRun(t)
	if free {
		return remaining >= service || t.kind.probeDue(now)
	}
	if remaining >= service+c.expectedWait(t) {
		return true
	}
	if remaining >= service {
		c.countShed(t)
	}
	return false
}

// expectedWait assumes that all slots are taken: they become free one after the
// other, one per mean service time divided by the slots.
func (c *core) expectedWait(t *ticket) time.Duration {
	if t.kind.long {
		ahead := float64(c.long.position(t) + 1)
		return time.Duration(ahead * float64(t.kind.expected()) / float64(c.config.longLimit()))
	}
	ahead := float64(c.short.position(t) + 1)
	return time.Duration(ahead * c.kinds.mean * float64(time.Second) / float64(max(1, c.config.Slots)))
}

// mayRun reports whether a slot is free for t.
func (c *core) mayRun(t *ticket) bool {
	if c.running >= c.config.Slots {
		return false
	}
	return !t.kind.long || c.longCount < c.config.longLimit()
}

// enqueue lets t wait, in place of the lowest waiting call when the queue is full.
func (c *core) enqueue(now time.Time, t *ticket) {
	if t.kind.long && c.long.length() >= c.config.longQueueLimit() {
		if !c.evictFor(t, c.long.last()) {
			return
		}
	} else if c.waiting() >= c.config.queueLimit() {
		if !c.evictFor(t, c.lowest()) {
			return
		}
	}
	c.setExpiry(now, t)
	c.queueOf(t).insert(t)
	t.kind.waiting++
	invariant.Check(c.waiting() <= c.config.queueLimit(), "admission queue limit",
		"%d calls wait, want at most %d", c.waiting(), c.config.queueLimit())
}

// evictFor refuses the lower of t and lowest. It reports whether t may wait.
func (c *core) evictFor(t, lowest *ticket) bool {
	if lowest == nil || !t.before(lowest) {
		c.shed(t, resultcode.Overloaded)
		return false
	}
	c.remove(lowest)
	c.shed(lowest, resultcode.Overloaded)
	return true
}

// setExpiry bounds the wait by queue_timeout and by the last moment at which the
// call could still finish in time.
func (c *core) setExpiry(now time.Time, t *ticket) {
	t.expires = now.Add(c.config.QueueTimeout)
	t.expiryCode = resultcode.Overloaded
	if t.request.Deadline.IsZero() {
		return
	}
	latest := t.request.Deadline.Add(-t.kind.expected())
	if latest.Before(t.expires) {
		t.expires = latest
		t.expiryCode = resultcode.DeadlineInsufficient
	}
}

// expire refuses t if it still waits. The controller calls it at t.expires.
func (c *core) expire(t *ticket) {
	if t.state == waiting && c.remove(t) {
		c.shed(t, t.expiryCode)
	}
}

// abandon takes out a call whose caller is gone. A call that was granted in the
// meantime gives its slot back.
func (c *core) abandon(now time.Time, t *ticket) {
	switch t.state {
	case waiting:
		c.remove(t)
		t.state = refused
		t.code = resultcode.CallerGone
	case running:
		c.release(now, t, resultcode.NotRun)
	}
}

// release ends a running call and starts the next ones.
func (c *core) release(now time.Time, t *ticket, run resultcode.Execution) {
	if !invariant.Check(t.state == running, "admission slot released once", "ticket %d of kind %q", t.sequence, t.request.Kind) {
		return
	}
	t.state = finished
	c.running--
	if t.kind.long {
		c.longCount--
	}
	t.kind.stopped(t.granted)
	c.teach(now, t, run)
	c.classify(now)
	c.dispatch(now)
}

// teach learns from calls that were run. One with an unknown outcome, such as a
// timeout, gives only a lower bound, which counts when it exceeds the mean.
func (c *core) teach(now time.Time, t *ticket, run resultcode.Execution) {
	if t.childShed && run == resultcode.Unknown {
		t.kind.child.shed(now, t.request.level())
		return
	}
	if run == resultcode.Run {
		t.kind.child.served(now, t.request.level())
	}
	service := now.Sub(t.granted)
	if run == resultcode.Run || (run == resultcode.Unknown && service > t.kind.expected()) {
		c.kinds.teach(now, t.kind, service)
	}
}

// configure replaces the limits. Calls that run keep their slots.
func (c *core) configure(now time.Time, config Config) {
	c.config = config
	for c.waiting() > max(0, c.config.queueLimit()) {
		lowest := c.lowest()
		c.remove(lowest)
		c.shed(lowest, resultcode.Overloaded)
	}
	c.dispatch(now)
}

func (c *core) load(now time.Time) Load {
	c.level.advance(now)
	l := Load{Running: c.running, Queued: c.waiting(), Slots: c.config.Slots}
	if !c.config.Disabled {
		l.Level = c.level.level()
	}
	return l
}
