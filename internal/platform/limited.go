package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Defaults of a Limited store. The platform takes about 2000 reads and several
// hundred writes a second from the whole fleet, of which one node needs only a
// few a minute.
const (
	DefaultReadsPerSecond  = 2
	DefaultWritesPerSecond = 1
	DefaultBurst           = 5
	// DefaultMinBackoff and DefaultMaxBackoff bound the wait after a failed call. The
	// wait is random up to a bound that doubles, so that the fleet does not
	// return at once after an outage.
	DefaultMinBackoff = 500 * time.Millisecond
	DefaultMaxBackoff = 30 * time.Second
)

// LimitConfig configures Limit. Zero values mean the defaults.
type LimitConfig struct {
	ReadsPerSecond, WritesPerSecond float64
	Burst                           int
	MinBackoff, MaxBackoff          time.Duration
	// Random returns a number in [0,1).
	Random func() float64
	Now    func() time.Time
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

// Limited is a Store that limits this node's calls and pauses after failures.
// Calls wait for their turn; a call whose context ends first was not sent.
type Limited struct {
	store  Store
	config LimitConfig
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	failures int
	resume   time.Time
}

var _ Store = (*Limited)(nil)

// Limit returns a Store that passes calls on to s.
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

// wait returns when the pause is over and the limiter lets the call through.
func (l *Limited) wait(ctx context.Context, limiter *rate.Limiter) error {
	pause := l.pause()
	if deadline, ok := ctx.Deadline(); ok && pause > time.Until(deadline) {
		return notSent(context.DeadlineExceeded)
	}
	timer := time.NewTimer(pause)
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

func (l *Limited) pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.resume.Sub(l.config.Now()))
}

func (l *Limited) observe(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isOverload(err) {
		l.failures = 0
		return
	}
	bound := l.config.MaxBackoff
	if shift := l.config.MinBackoff << min(l.failures, 16); shift > 0 {
		bound = min(bound, shift)
	}
	l.failures++
	l.resume = l.config.Now().Add(time.Duration(l.config.Random() * float64(bound)))
}

func isOverload(err error) bool {
	if err == nil {
		return false
	}
	code := resultcode.From(err).Code
	return code == resultcode.PlatformUnavailable || code == resultcode.PlatformRateLimited
}

// notSent is an error of a call that this node did not send.
func notSent(cause error) error {
	e := resultcode.Wrap(cause, resultcode.PlatformUnavailable, "not sent: waiting after a failure or for the rate limit")
	e.Execution = resultcode.NotRun
	return e
}
