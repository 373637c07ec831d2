package platformtest

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// ErrResponseLost means that the write took effect or may still do so, and that
// the writer gets no answer.
var ErrResponseLost = resultcode.New(resultcode.PlatformUnavailable, "the answer to the write was lost")

var (
	errLate    = resultcode.Wrap(ErrResponseLost, resultcode.PlatformUnavailable, "the write is late")
	errOutage  = resultcode.New(resultcode.PlatformUnavailable, "outage")
	errGarbage = resultcode.New(resultcode.PlatformMalformed, "the answer cannot be read")
)

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *Store) readLimiter() *rate.Limiter  { return s.reads }
func (s *Store) writeLimiter() *rate.Limiter { return s.writes }

// begin counts the call, applies the faults that come before its effect, and
// waits for the delay.
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

// delayed schedules the write for later and returns true when the late write
// fault applies.
func (s *Store) delayed(write func()) bool {
	if !s.happens(s.faults.LateWriteFraction) {
		return false
	}
	time.AfterFunc(s.faults.lateWriteDelay(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		write()
	})
	return true
}

func (s *Store) answerFault() error {
	if s.happens(s.faults.LostResponseFraction) {
		return ErrResponseLost
	}
	return s.garbage()
}

func (s *Store) garbage() error {
	if s.happens(s.faults.GarbageFraction) {
		return errGarbage
	}
	return nil
}

func (s *Store) happens(share float64) bool {
	return share > 0 && s.random.Float64() < share
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
	return resultcode.Wrap(cause, resultcode.PlatformUnavailable, "no answer")
}

func notFound(key string) error {
	return resultcode.New(resultcode.ScopeNotFound, "object %q does not exist", key)
}

func conflict(key string, wanted, present int64) error {
	return resultcode.New(resultcode.SettingsConflict,
		"object %q has version %d; the condition was version %d", key, present, wanted)
}
