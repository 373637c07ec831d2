package admission

import (
	"math"
	"time"

	"github.com/mustardwing/mustardwing/internal/capacity"
	"github.com/mustardwing/mustardwing/internal/invariant"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// classifyInterval is the least time between two classifications of the kinds into
// short and long.
const classifyInterval = 100 * time.Millisecond

// core decides which calls run. It does no I/O, reads no clock and is not safe
// for concurrent use; Controller adds locking and waiting.
type core struct {
	config Config
	kinds  *kindTable
	// short and long hold the queued calls of the short and of the long kinds.
	short queue
	long  queue
	// running is the number of running calls, longRunning that of long kinds among them.
	running     int
	longRunning int
	// sequence is the number of calls that arrived so far.
	sequence uint64
	level    levelTracker
	// rate is the gate for the rate limit that the upstream states.
	rate           rateGate
	lastClassified time.Time
	// capacity learns how many calls the upstream takes well, nil while that is off.
	capacity *capacity.Estimator
	// decided collects calls that were granted a slot or refused after they were
	// queued, until the controller notifies them.
	decided []*ticket
}

func newCore(config Config) *core {
	return &core{config: config, kinds: newKindTable()}
}

// submit starts, queues or refuses a new call. The state of the ticket says which.
func (c *core) submit(now time.Time, r Request) *ticket {
	c.classify(now)
	if c.capacity != nil {
		c.capacity.Advance(now)
	}
	c.sequence++
	t := &ticket{request: r, kind: c.kinds.get(now, r.Kind), sequence: c.sequence, arrivedAt: now}
	if !t.kind.long {
		c.level.recordArrival(now, r.level())
	}
	if c.config.Disabled {
		c.start(now, t)
		return t
	}
	// The controller's timer may be late, and t must not precede the calls that wait for it.
	c.dispatch(now)
	if r.Depth == 0 && t.kind.nested.refuses(now, r.level()) {
		c.refuse(t, resultcode.Overloaded)
		return t
	}
	if !c.checkDeadline(now, t) {
		c.refuse(t, resultcode.DeadlineInsufficient)
		return t
	}
	if c.canStart(now, t) {
		c.grant(now, t)
		return t
	}
	c.enqueue(now, t)
	return t
}

// checkDeadline reports whether t may run or be queued: the time until its deadline
// covers the expected service time and, when t cannot start now, the expected wait; or t can
// start and is admitted as a probe of its kind; see probeInterval. A call without
// a deadline always passes. checkDeadline counts t as shed when only the wait is too long.
func (c *core) checkDeadline(now time.Time, t *ticket) bool {
	if t.request.Deadline.IsZero() {
		return true
	}
	remaining := t.request.Deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	service := t.kind.expectedServiceTime()
	if c.canStart(now, t) {
		return remaining >= service || t.kind.takeProbe(now)
	}
	if remaining >= service+c.expectedWait(now, t) {
		return true
	}
	if remaining >= service {
		c.countShed(t)
	}
	return false
}

// expectedWait returns the expected time that t spends in the queue: the longer of the waits
// for a slot and for the rate limit.
func (c *core) expectedWait(now time.Time, t *ticket) time.Duration {
	wait := c.rate.wait(now, c.short.position(t)+c.long.position(t))
	if !c.hasFreeSlot(t) {
		wait = max(wait, c.expectedSlotWait(t))
	}
	return wait
}

// expectedSlotWait returns the expected time until a slot is free for t. It assumes that
// all slots that t may use are in use and become free at even intervals: a service time
// divided by the number of these slots. That is the expected service time of the kind when
// the kind is long, and otherwise the mean over all kinds.
func (c *core) expectedSlotWait(t *ticket) time.Duration {
	if t.kind.long {
		ahead := float64(c.long.position(t) + 1)
		return time.Duration(ahead * float64(t.kind.expectedServiceTime()) / float64(c.limits().longSlotLimit()))
	}
	ahead := float64(c.short.position(t) + 1)
	return time.Duration(ahead * c.kinds.mean * float64(time.Second) / float64(max(1, c.slots())))
}

// canStart reports whether t may start now if no queued call precedes it.
func (c *core) canStart(now time.Time, t *ticket) bool {
	return c.hasFreeSlot(t) && c.rate.ready(now)
}

// hasFreeSlot reports whether a slot is free for t.
func (c *core) hasFreeSlot(t *ticket) bool {
	if c.running >= c.slots() {
		return false
	}
	return !t.kind.long || c.longRunning < c.limits().longSlotLimit()
}

// enqueue queues t. When the queue is full, the one of t and the queued calls that would
// be served last is shed. When t is long and the limit of queued long calls is reached, only
// long calls are compared.
func (c *core) enqueue(now time.Time, t *ticket) {
	if t.kind.long && c.long.length() >= c.config.longQueueLimit() {
		if !c.evictFor(t, c.long.last()) {
			return
		}
	} else if c.queued() >= c.queueLimit(now) {
		if !c.evictFor(t, c.lowest()) {
			return
		}
	}
	c.setExpiry(now, t)
	c.queueOf(t).insert(t)
	t.kind.queued++
	invariant.Check(c.queued() <= c.config.queueLimit(), "admission queue limit",
		"%d calls are queued, want at most %d", c.queued(), c.config.queueLimit())
}

// queueLimit returns the number of calls that may be queued: under a rate limit no more than
// can start within the queue timeout.
func (c *core) queueLimit(now time.Time) int {
	limit := c.config.queueLimit()
	if c.rate.limited {
		limit = int(min(float64(limit), c.rate.within(now, c.config.QueueTimeout)))
	}
	return limit
}

// evictFor sheds the one of t and lowest that would be served last. lowest is the queued call
// that t may replace, nil when there is none. It reports whether t may be queued.
func (c *core) evictFor(t, lowest *ticket) bool {
	if lowest == nil || !t.before(lowest) {
		c.shed(t, resultcode.Overloaded)
		return false
	}
	c.remove(lowest)
	c.shed(lowest, resultcode.Overloaded)
	return true
}

// setExpiry bounds the time in the queue by the kind's queue_timeout and by the latest start at
// which the call is expected to finish before its deadline.
func (c *core) setExpiry(now time.Time, t *ticket) {
	t.expiresAt = now.Add(c.config.queueTimeout(t.request.Kind))
	t.expiryCode = resultcode.Overloaded
	if t.request.Deadline.IsZero() {
		return
	}
	latest := t.request.Deadline.Add(-t.kind.expectedServiceTime())
	if latest.Before(t.expiresAt) {
		t.expiresAt = latest
		t.expiryCode = resultcode.DeadlineInsufficient
	}
}

// expire sheds t if it is still queued. The controller calls it once t.expiresAt has
// passed.
func (c *core) expire(t *ticket) {
	if t.state == queued && c.remove(t) {
		c.shed(t, t.expiryCode)
	}
}

// cancel removes a queued call whose caller disconnected or whose deadline has passed. If
// the call was granted a slot in the meantime, the slot is released; if it was refused,
// cancel does nothing.
func (c *core) cancel(now time.Time, t *ticket) {
	switch t.state {
	case queued:
		c.remove(t)
		t.state = refused
		t.code = resultcode.CallerGone
	case running:
		c.release(now, t, resultcode.NotRun)
	}
}

// release finishes a running call and starts queued calls in its place. For a call that
// is not running it only reports a violated invariant.
func (c *core) release(now time.Time, t *ticket, execution resultcode.Execution) {
	if !invariant.Check(t.state == running, "admission slot released once", "ticket %d of kind %q", t.sequence, t.request.Kind) {
		return
	}
	t.state = finished
	c.running--
	if t.kind.long {
		c.longRunning--
	}
	t.kind.recordStop(t.grantedAt)
	if t.learned != nil {
		t.learned.Finish(now, execution == resultcode.Run && !t.failed && !t.nestedCallShed)
	}
	c.learn(now, t, execution)
	c.classify(now)
	c.dispatch(now)
}

// learn updates the kind's level for nested calls and its expected service time. A call
// with an unknown outcome, such as a timeout, gives only a lower bound of the service
// time, which is used when it exceeds the expected service time. A call that failed
// because a nested call was shed gives none, and neither does one that was not run.
func (c *core) learn(now time.Time, t *ticket, execution resultcode.Execution) {
	if t.nestedCallShed && execution == resultcode.Unknown {
		t.kind.nested.recordShed(now, t.request.level())
		return
	}
	if execution == resultcode.Run {
		t.kind.nested.recordServed(now, t.request.level())
	}
	service := now.Sub(t.grantedAt)
	if execution == resultcode.Run || (execution == resultcode.Unknown && service > t.kind.expectedServiceTime()) {
		c.kinds.recordServiceTime(now, t.kind, service)
	}
}

// configure replaces the limits. Running calls keep their slots; queued calls that
// exceed the new queue limit are shed.
func (c *core) configure(now time.Time, config Config) {
	c.config = config
	c.learnCapacity(now)
	c.shedExcess(now)
	c.dispatch(now)
}

// setRateLimit puts a rate limit of the upstream in force; nil lifts it. Queued calls that
// exceed the new queue limit are shed.
func (c *core) setRateLimit(now time.Time, perSecond *float64) {
	if perSecond == nil {
		c.rate.clear()
	} else {
		c.rate.set(now, *perSecond)
		c.shedExcess(now)
	}
	if c.capacity != nil {
		c.capacity.Suspend(now, c.rate.limited)
	}
	c.dispatch(now)
}

// learnCapacity begins or ends learning the capacity as configured.
func (c *core) learnCapacity(now time.Time) {
	switch {
	case !c.config.LearnCapacity || c.config.Disabled:
		c.capacity = nil
	case c.capacity == nil:
		c.capacity = capacity.New(now, c.config.Slots)
		c.capacity.Suspend(now, c.rate.limited)
	default:
		c.capacity.SetSlots(now, c.config.Slots)
	}
}

// slots returns the number of calls that may run at the same time.
func (c *core) slots() int {
	if c.capacity == nil {
		return c.config.Slots
	}
	return min(c.config.Slots, c.capacity.Limit())
}

// limits returns the configuration with the number of slots that are in force.
func (c *core) limits() Config {
	limits := c.config
	limits.Slots = c.slots()
	return limits
}

// shedExcess sheds the queued calls that exceed the queue limit.
func (c *core) shedExcess(now time.Time) {
	for limit := max(0, c.queueLimit(now)); c.queued() > limit; {
		lowest := c.lowest()
		c.remove(lowest)
		c.shed(lowest, resultcode.Overloaded)
	}
}

// wakeAfter returns when dispatch can start a queued call that only waits for the rate limit.
// It returns false when there is none.
func (c *core) wakeAfter(now time.Time) (time.Duration, bool) {
	if c.nextForSlot() == nil {
		return 0, false
	}
	return c.rate.wait(now, 0), c.rate.limited
}

// load returns the load to report. Its level is zero when admission control is disabled.
func (c *core) load(now time.Time) Load {
	c.level.advance(now)
	l := Load{Running: c.running, Queued: c.queued(), Slots: c.usableSlots()}
	if c.rate.limited {
		limit := c.rate.perSecond
		l.RateLimit = &limit
	}
	if !c.config.Disabled {
		l.Level = c.level.level()
	}
	return l
}

// usableSlots returns the number of slots that can be in use on average: under a rate limit as
// many as calls of the mean service time keep busy, and one at least.
func (c *core) usableSlots() int {
	if !c.rate.limited {
		return c.slots()
	}
	busy := math.Round(c.rate.rate() * c.kinds.mean)
	return int(min(max(1, busy), float64(max(1, c.slots()))))
}
