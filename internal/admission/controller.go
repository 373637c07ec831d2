// Package admission decides which calls the upstream beside this node runs now,
// which wait and which are refused.
package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Controller admits calls to one upstream instance. It is safe for concurrent use.
type Controller struct {
	mu   sync.Mutex
	core *core
}

// New returns a controller.
func New(config Config) *Controller {
	return &Controller{core: newCore(config)}
}

// Configure replaces the limits; running calls are kept, and waiting calls as far
// as the new queue holds them.
func (c *Controller) Configure(config Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.configure(time.Now(), config)
	c.wake()
}

// Acquire waits for a slot. It fails with a *resultcode.Error whose execution
// outcome is NotRun: CallerGone when ctx is cancelled first, DeadlineInsufficient
// when its time runs out first.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Slot, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	t := c.enter(r)
	if t.settled != nil {
		if err := c.wait(ctx, t); err != nil {
			return nil, err
		}
	}
	if t.state == refused {
		return nil, refusal(t)
	}
	return &Slot{controller: c, ticket: t}, nil
}

func (c *Controller) enter(r Request) *ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.core.enter(time.Now(), r)
	if t.state == waiting {
		t.settled = make(chan struct{})
	}
	c.wake()
	return t
}

// wait returns when t runs or was refused. It fails when ctx ends first.
func (c *Controller) wait(ctx context.Context, t *ticket) error {
	timer := time.NewTimer(time.Until(t.expires))
	defer timer.Stop()
	select {
	case <-t.settled:
		return nil
	case <-timer.C:
		c.expire(t)
		return nil
	case <-ctx.Done():
		c.abandon(t)
		return contextError(ctx)
	}
}

func (c *Controller) expire(t *ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.expire(t)
	c.wake()
}

func (c *Controller) abandon(t *ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.abandon(time.Now(), t)
	c.wake()
}

func (c *Controller) release(t *ticket, run resultcode.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.release(time.Now(), t, run)
	c.wake()
}

func (c *Controller) childShed(t *ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.childShed = true
}

// wake tells waiting calls that were settled. The caller holds the lock.
func (c *Controller) wake() {
	for _, t := range c.core.settled {
		if t.settled != nil {
			close(t.settled)
		}
	}
	c.core.settled = c.core.settled[:0]
}

// Load returns the figures for the Mustardwing-Load header.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.load(time.Now())
}

// LowestQueued returns the level of the waiting call that would be shed first,
// and false when none waits.
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
		return resultcode.New(t.code, "kind %q with deadline %s needs about %s of service after the queue",
			t.request.Kind, t.request.Deadline.Format(time.RFC3339Nano), t.service)
	}
	return resultcode.New(t.code, "kind %q of priority %s was shed", t.request.Kind, t.request.Priority)
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return resultcode.Wrap(ctx.Err(), resultcode.DeadlineInsufficient, "the time ran out before a slot was free")
	}
	return resultcode.Wrap(ctx.Err(), resultcode.CallerGone, "the caller left before a slot was free")
}
