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

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *Store) readLimiter() *rate.Limiter  { return s.reads }
func (s *Store) writeLimiter() *rate.Limiter { return s.writes }

// begin counts the call, waits for the delay and applies the faults that precede
// the effect of the call: outage and rate limit.
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
// write fault occurs.
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

func (s *Store) responseFault() error {
	if s.faultOccurs(s.faults.LostResponseFraction) {
		return ErrResponseLost
	}
	return s.garbageFault()
}

func (s *Store) garbageFault() error {
	if s.faultOccurs(s.faults.GarbageFraction) {
		return errGarbage
	}
	return nil
}

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
