// Package drain counts the in-flight calls that listeners of a node have accepted, and
// decides when new ones are refused because the node or its upstream drains.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// GracePeriod is how long new calls are still accepted after the draining has begun, which
// is the time that other nodes and callers need to learn of it.
const GracePeriod = 2500 * time.Millisecond

// State is the state of one or more listeners of a node that drain together. It is safe
// for concurrent use.
type State struct {
	mu       sync.Mutex
	now      func() time.Time
	inFlight int
	draining bool
	// refuseAt is when the grace period of the latest draining ends.
	refuseAt time.Time
	// idle is closed when no call is in flight; nil while nobody waits for that.
	idle chan struct{}
}

// NewState returns a state that accepts calls. A nil now means time.Now.
func NewState(now func() time.Time) *State {
	if now == nil {
		now = time.Now
	}
	return &State{now: now}
}

// Begin starts the draining and its grace period. It does nothing when already
// draining.
func (s *State) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	s.refuseAt = s.now().Add(GracePeriod)
}

// Cancel ends the draining, if there is one, so that calls are accepted again. It is used
// when the draining upstream no longer drains or another one has replaced it.
func (s *State) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
}

// Draining reports whether Begin was called and Cancel was not called since.
func (s *State) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Enter counts a new call. While draining it fails with resultcode.Draining after the
// grace period. Every success must be followed by one Leave.
func (s *State) Enter() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && !s.now().Before(s.refuseAt) {
		return resultcode.New(resultcode.Draining, "the drain grace period of %s is over", GracePeriod)
	}
	s.inFlight++
	return nil
}

// EnterNested counts a nested call of an in-flight call; it never fails. It
// must be followed by one Leave.
func (s *State) EnterNested() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

// Leave ends a call counted by Enter or EnterNested. The last one wakes Wait.
func (s *State) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// InFlight returns the number of in-flight calls.
func (s *State) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Wait calls Begin and waits until the grace period is over and no call is in
// flight. It returns the error of ctx if ctx ends before that.
func (s *State) Wait(ctx context.Context) error {
	s.Begin()
	if err := s.waitGracePeriod(ctx); err != nil {
		return err
	}
	for {
		idle := s.idleChannel()
		if idle == nil {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitGracePeriod waits until refuseAt or until ctx ends.
func (s *State) waitGracePeriod(ctx context.Context) error {
	s.mu.Lock()
	wait := s.refuseAt.Sub(s.now())
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// idleChannel returns nil when no call is in flight, else a channel that is closed
// when the last in-flight call ends.
func (s *State) idleChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == 0 {
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	return s.idle
}
