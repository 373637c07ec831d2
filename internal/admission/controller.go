// Package admission decides which calls the upstream of this node runs now, which
// are queued and which are refused.
package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/capacity"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Controller admits calls to one upstream instance. It is safe for concurrent use.
type Controller struct {
	mu   sync.Mutex
	core *core
	// wakeTimer calls wake when the rate limit allows the next queued call to start. It is
	// nil before the first call that has waited for that.
	wakeTimer *time.Timer
}

// New returns a controller without calls.
func New(config Config) *Controller {
	c := &Controller{core: newCore(config)}
	c.core.learnCapacity(time.Now())
	return c
}

// Configure replaces the limits. Running calls keep their slots; queued calls that
// exceed the new queue limit are shed.
func (c *Controller) Configure(config Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.configure(time.Now(), config)
	c.settle()
}

// Acquire waits for a slot. It fails with a *resultcode.Error whose execution
// outcome is NotRun: CallerGone when ctx is cancelled first, DeadlineInsufficient
// when the deadline of ctx expires first, and otherwise the code of the refusal.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Slot, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	t := c.submit(r)
	if t.decided != nil {
		if err := c.waitDecided(ctx, t); err != nil {
			return nil, err
		}
	}
	if t.state == refused {
		return nil, refusal(t)
	}
	return &Slot{controller: c, ticket: t}, nil
}

func (c *Controller) submit(r Request) *ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.core.submit(time.Now(), r)
	if t.state == queued {
		t.decided = make(chan struct{})
	}
	c.settle()
	return t
}

// waitDecided waits until t is granted a slot or refused. At t.expiresAt it sheds t if t
// is still queued. It fails when ctx is done first.
func (c *Controller) waitDecided(ctx context.Context, t *ticket) error {
	timer := time.NewTimer(time.Until(t.expiresAt))
	defer timer.Stop()
	select {
	case <-t.decided:
		return nil
	case <-timer.C:
		c.expire(t)
		return nil
	case <-ctx.Done():
		c.cancel(t)
		return contextError(ctx)
	}
}

func (c *Controller) expire(t *ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.expire(t)
	c.settle()
}

func (c *Controller) cancel(t *ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.cancel(time.Now(), t)
	c.settle()
}

func (c *Controller) release(t *ticket, execution resultcode.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.release(time.Now(), t, execution)
	c.settle()
}

func (c *Controller) nestedCallShed(t *ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.nestedCallShed = true
}

func (c *Controller) failed(t *ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.failed = true
}

func (c *Controller) nestedCall(t *ticket, begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.learned.Nested(time.Now(), begins)
}

// Capacity returns what is known about the capacity of the upstream, and false while it is not
// learned.
func (c *Controller) Capacity() (capacity.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core.capacity == nil {
		return capacity.Status{}, false
	}
	return c.core.capacity.Status(), true
}

// settle ends each operation on core: it notifies the calls in core.decided, empties it, and
// sets the timer for the next call that waits for the rate limit. c.mu must be held.
func (c *Controller) settle() {
	for _, t := range c.core.decided {
		if t.decided != nil {
			close(t.decided)
		}
	}
	c.core.decided = c.core.decided[:0]
	after, waiting := c.core.wakeAfter(time.Now())
	switch {
	case !waiting:
	case c.wakeTimer == nil:
		c.wakeTimer = time.AfterFunc(after, c.wake)
	default:
		c.wakeTimer.Reset(after)
	}
}

// wake starts the queued calls that waited for the rate limit.
func (c *Controller) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.dispatch(time.Now())
	c.settle()
}

// SetRateLimit puts in force the number of calls per second that the upstream takes at most;
// nil lifts the limit. Calls beyond it are queued and shed as they are without a free slot.
func (c *Controller) SetRateLimit(perSecond *float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.setRateLimit(time.Now(), perSecond)
	c.settle()
}

// Load returns the present load, as the Mustardwing-Load header reports it.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.load(time.Now())
}

// LowestQueued returns the priority and rank of the queued call that would be served
// last, and false when no call is queued.
func (c *Controller) LowestQueued() (Level, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.core.lowest()
	if t == nil {
		return Level{}, false
	}
	return t.request.level(), true
}

func refusal(t *ticket) error {
	if t.code == resultcode.DeadlineInsufficient {
		return resultcode.New(t.code, "kind %q with deadline %s needs about %s of service time after queueing",
			t.request.Kind, t.request.Deadline.Format(time.RFC3339Nano), t.expectedServiceTime)
	}
	return resultcode.New(t.code, "kind %q of priority %s was shed", t.request.Kind, t.request.Priority)
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return resultcode.Wrap(ctx.Err(), resultcode.DeadlineInsufficient, "the deadline expired before a slot was free")
	}
	return resultcode.Wrap(ctx.Err(), resultcode.CallerGone, "the caller disconnected before a slot was free")
}
