package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Defaults of a Limited store. The platform accepts about 2000 reads and several
// hundred writes a second from the whole fleet; one node needs only a few a
// minute.
const (
	DefaultReadsPerSecond  = 2
	DefaultWritesPerSecond = 1
	DefaultBurst           = 5
	// DefaultMinBackoff and DefaultMaxBackoff are the lowest and the highest bound of the
	// backoff after a failed call. The backoff is random between zero and a bound that
	// starts at DefaultMinBackoff and doubles with every consecutive failure, so that the
	// nodes of the fleet do not all call at the same time after an outage.
	DefaultMinBackoff = 500 * time.Millisecond
	DefaultMaxBackoff = 30 * time.Second
)

// LimitConfig configures Limit. Zero values mean the defaults.
type LimitConfig struct {
	ReadsPerSecond, WritesPerSecond float64
	// Burst is the number of reads, and also of writes, that may be sent without
	// waiting after a period without any.
	Burst int
	// MinBackoff and MaxBackoff are the lowest and the highest bound of the random
	// backoff.
	MinBackoff, MaxBackoff time.Duration
	// Random returns a number in [0,1).
	Random func() float64
	// Now returns the current time.
	Now func() time.Time
}

func (c LimitConfig) withDefaults() LimitConfig {
	if c.ReadsPerSecond == 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.Burst == 0 {
		c.Burst = DefaultBurst
	}
	if c.MinBackoff == 0 {
		c.MinBackoff = DefaultMinBackoff
	}
	if c.MaxBackoff == 0 {
		c.MaxBackoff = DefaultMaxBackoff
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Limited is a Store that limits the rate of this node's calls and backs off
// after failures. Calls wait for the backoff and the rate limit; a call whose
// context ends first is not sent.
type Limited struct {
	store  Store
	config LimitConfig
	reads  *rate.Limiter
	writes *rate.Limiter

	mu sync.Mutex
	// failures is the number of calls that required a backoff since the last call that
	// required none.
	failures int
	// backoffUntil is the end of the last backoff.
	backoffUntil time.Time
}

var _ Store = (*Limited)(nil)

// Limit returns a Store that forwards calls to s within the limits of c.
func Limit(s Store, c LimitConfig) *Limited {
	c = c.withDefaults()
	return &Limited{
		store:  s,
		config: c,
		reads:  rate.NewLimiter(rate.Limit(c.ReadsPerSecond), c.Burst),
		writes: rate.NewLimiter(rate.Limit(c.WritesPerSecond), c.Burst),
	}
}

// Get implements Store.
func (l *Limited) Get(ctx context.Context, key string) (Object, error) {
	if err := l.wait(ctx, l.reads); err != nil {
		return Object{}, err
	}
	o, err := l.store.Get(ctx, key)
	l.observe(err)
	return o, err
}

// List implements Store.
func (l *Limited) List(ctx context.Context, prefix string) (Listing, error) {
	if err := l.wait(ctx, l.reads); err != nil {
		return Listing{}, err
	}
	listing, err := l.store.List(ctx, prefix)
	l.observe(err)
	return listing, err
}

// Update implements Store.
func (l *Limited) Update(ctx context.Context, key string, ifVersion int64, value []byte) (Object, error) {
	if err := l.wait(ctx, l.writes); err != nil {
		return Object{}, err
	}
	o, err := l.store.Update(ctx, key, ifVersion, value)
	l.observe(err)
	return o, err
}

// Delete implements Store.
func (l *Limited) Delete(ctx context.Context, key string, ifVersion int64) error {
	if err := l.wait(ctx, l.writes); err != nil {
		return err
	}
	err := l.store.Delete(ctx, key, ifVersion)
	l.observe(err)
	return err
}

// Watch implements Store.
func (l *Limited) Watch(ctx context.Context, prefix string, after int64) (Events, error) {
	if err := l.wait(ctx, l.reads); err != nil {
		return Events{}, err
	}
	e, err := l.store.Watch(ctx, prefix, after)
	l.observe(err)
	return e, err
}

// wait returns when the backoff is over and the limiter admits the call, or an error
// when ctx ends or would end before that.
func (l *Limited) wait(ctx context.Context, limiter *rate.Limiter) error {
	backoff := l.remainingBackoff()
	if deadline, ok := ctx.Deadline(); ok && backoff > time.Until(deadline) {
		return notSent(context.DeadlineExceeded)
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return notSent(ctx.Err())
	}
	if err := limiter.Wait(ctx); err != nil {
		return notSent(err)
	}
	return nil
}

func (l *Limited) remainingBackoff() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.backoffUntil.Sub(l.config.Now()))
}

// observe starts a backoff if the result of a call requires one, and resets the number
// of failures otherwise.
func (l *Limited) observe(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !requiresBackoff(err) {
		l.failures = 0
		return
	}
	bound := l.config.MaxBackoff
	if doubled := l.config.MinBackoff << min(l.failures, 16); doubled > 0 {
		bound = min(bound, doubled)
	}
	l.failures++
	l.backoffUntil = l.config.Now().Add(time.Duration(l.config.Random() * float64(bound)))
}

// requiresBackoff reports whether the code of err is that of an unavailable platform or
// of a rate limit. Other errors are those of a single call.
func requiresBackoff(err error) bool {
	if err == nil {
		return false
	}
	code := resultcode.From(err).Code
	return code == resultcode.PlatformUnavailable || code == resultcode.PlatformRateLimited
}

// notSent returns the error of a call that this node did not send.
func notSent(cause error) error {
	e := resultcode.Wrap(cause, resultcode.PlatformUnavailable, "not sent: backing off after a failure or waiting for the rate limit")
	e.Execution = resultcode.NotRun
	return e
}
