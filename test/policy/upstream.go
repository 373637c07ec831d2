package policy

import (
	"context"
	"time"
)

// upstream is a fake upstream instance with its own slots and an unbounded queue in
// front of them. In the baseline it has no other protection from overload.
type upstream struct {
	// slots holds one value for each slot in use.
	slots chan struct{}
	// slowdown returns the factor of the service time at a time since start.
	slowdown func(at time.Duration) float64
	start    time.Time
}

func newUpstream(slots int, start time.Time, slowdown func(time.Duration) float64) *upstream {
	return &upstream{slots: make(chan struct{}, slots), slowdown: slowdown, start: start}
}

// acquire waits for a slot; slots are granted in order of arrival.
func (u *upstream) acquire(ctx context.Context) error {
	select {
	case u.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (u *upstream) release() {
	<-u.slots
}

// process waits for d, multiplied by the current slowdown of the instance. It returns
// early with the context's error when ctx ends.
func (u *upstream) process(ctx context.Context, d time.Duration) error {
	factor := u.slowdown(time.Since(u.start))
	return sleep(ctx, time.Duration(float64(d)*factor))
}

// sleep waits for d. It returns early with the context's error when ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
