package platformtest

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// ErrResponseLost means that the write took effect or may still do so, and that
// the writer receives no response.
var ErrResponseLost = resultcode.New(resultcode.PlatformUnavailable, "the response to the write was lost")

var (
	errLateWrite = resultcode.Wrap(ErrResponseLost, resultcode.PlatformUnavailable, "the write is late")
	errOutage    = resultcode.New(resultcode.PlatformUnavailable, "outage")
	errGarbage   = resultcode.New(resultcode.PlatformMalformed, "the response cannot be decoded")
)

// newLimiter returns a limiter whose burst is the number of calls in one second, at
// least one. A rate of zero means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// readLimiter and writeLimiter return the current limiters, which SetFaults replaces.
// The lock must be held.
func (s *Store) readLimiter() *rate.Limiter  { return s.reads }
func (s *Store) writeLimiter() *rate.Limiter { return s.writes }

// begin counts the call and waits for the delay. It returns an error when the call is to
// have no effect: ctx ends during the delay, the injected faults include an outage, or the
// rate limit refuses the call.
func (s *Store) begin(ctx context.Context, counter *int64, limiter func() *rate.Limiter) error {
	s.mu.Lock()
	*counter++
	delay := s.faults.delay()
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return unavailable(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return errOutage
	}
	if !limiter().Allow() {
		s.counts.Limited++
		return resultcode.New(resultcode.PlatformRateLimited, "rate limit")
	}
	return nil
}

// scheduleLateWrite schedules the write for later and returns true when the late
// write fault occurs. The lock must be held; write is called with it held.
func (s *Store) scheduleLateWrite(write func()) bool {
	if !s.faultOccurs(s.faults.LateWriteFraction) {
		return false
	}
	time.AfterFunc(s.faults.lateWriteDelay(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		write()
	})
	return true
}

// responseFault returns the error of a fault that occurs after a write took effect, or
// nil. The lock must be held.
func (s *Store) responseFault() error {
	if s.faultOccurs(s.faults.LostResponseFraction) {
		return ErrResponseLost
	}
	return s.garbageFault()
}

// garbageFault returns an error when the response of a call is to be undecodable. The
// lock must be held.
func (s *Store) garbageFault() error {
	if s.faultOccurs(s.faults.GarbageFraction) {
		return errGarbage
	}
	return nil
}

// faultOccurs draws whether a fault with the given fraction affects the call. The lock
// must be held.
func (s *Store) faultOccurs(fraction float64) bool {
	return fraction > 0 && s.random.Float64() < fraction
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func unavailable(cause error) error {
	return resultcode.Wrap(cause, resultcode.PlatformUnavailable, "no response")
}

func notFound(key string) error {
	return resultcode.New(resultcode.ScopeNotFound, "object %q does not exist", key)
}

func conflict(key string, ifVersion, current int64) error {
	return resultcode.New(resultcode.SettingsConflict,
		"object %q has version %d; the condition was version %d", key, current, ifVersion)
}
