// Package drain counts the calls in flight at a node and decides when a node
// that is leaving refuses new ones.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// GracePeriod is how long a draining node still accepts new calls, which is the time
// others need to learn that it drains.
const GracePeriod = 2500 * time.Millisecond

// State is shared by the listeners of one node. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	now     func() time.Time
	running int
	begun   bool
	refuse  time.Time
	empty   chan struct{}
}

// NewState returns a state that accepts calls. Now may be nil.
func NewState(now func() time.Time) *State {
	if now == nil {
		now = time.Now
	}
	return &State{now: now}
}

// Begin starts the notice period. It does nothing when draining already.
func (s *State) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return
	}
	s.begun = true
	s.refuse = s.now().Add(GracePeriod)
}

// Cancel accepts calls again: another upstream has taken the place of the one
// that left.
func (s *State) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = false
}

// Draining reports whether Begin was called.
func (s *State) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// Enter counts a new call and fails with Draining after the notice period.
// Every success is followed by one Leave.
func (s *State) Enter() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun && !s.now().Before(s.refuse) {
		return resultcode.New(resultcode.Draining, "the notice period of %s is over", GracePeriod)
	}
	s.running++
	return nil
}

// EnterNested counts a child call of a running call; it never fails.
func (s *State) EnterNested() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
}

// Leave ends a call.
func (s *State) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && s.empty != nil {
		close(s.empty)
		s.empty = nil
	}
}

// InFlight returns the number of calls in flight.
func (s *State) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Wait waits until the notice period is over and no call is in flight. It
// calls Begin.
func (s *State) Wait(ctx context.Context) error {
	s.Begin()
	if err := s.waitNotice(ctx); err != nil {
		return err
	}
	for {
		empty := s.emptied()
		if empty == nil {
			return nil
		}
		select {
		case <-empty:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *State) waitNotice(ctx context.Context) error {
	s.mu.Lock()
	wait := s.refuse.Sub(s.now())
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

// emptied returns nil when nothing runs, else a channel closed once that is so.
func (s *State) emptied() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == 0 {
		return nil
	}
	if s.empty == nil {
		s.empty = make(chan struct{})
	}
	return s.empty
}
