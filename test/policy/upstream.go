package policy

import (
	"context"
	"time"
)

// upstream is a fake upstream instance with its own slots and an unbounded queue
// in front of them, which is all that protects it in the baseline.
type upstream struct {
	slots chan struct{}
	slow  func(at time.Duration) float64
	start time.Time
}

func newUpstream(slots int, start time.Time, slow func(time.Duration) float64) *upstream {
	return &upstream{slots: make(chan struct{}, slots), slow: slow, start: start}
}

// acquire waits for a slot of the upstream in order of arrival.
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

// work takes the given time, longer while the instance is slow.
func (u *upstream) work(ctx context.Context, d time.Duration) error {
	factor := u.slow(time.Since(u.start))
	return sleep(ctx, time.Duration(float64(d)*factor))
}

// sleep returns early with the context's error when ctx ends.
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
