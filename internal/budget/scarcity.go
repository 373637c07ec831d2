package budget

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// scarcityEnd is the time without a denied claim after which retries are no longer scarce.
const scarcityEnd = 2 * time.Second

// Scarcity describes a time in which the retries at a service did not suffice.
type Scarcity struct {
	// Scarce is set when the time begins. When it ends, Duration is how long it was.
	Scarce   bool
	Duration time.Duration
	// Granted and Denied count the claims since the beginning, DeniedByPriority the denied
	// ones by the priority of the root request.
	Granted, Denied  int
	DeniedByPriority [call.PriorityCount]int
}

// scarcity follows the denied claims at one service.
type scarcity struct {
	state         Scarcity
	since, latest time.Time
}

// update records the decision on a claim. It returns true with the state to report when
// scarcity begins or has ended.
func (s *scarcity) update(now time.Time, denied bool, claim Claim) (Scarcity, bool) {
	if s.state.Scarce && now.Sub(s.latest) >= scarcityEnd {
		ended := s.state
		ended.Scarce, ended.Duration = false, s.latest.Sub(s.since)
		s.state = Scarcity{}
		return ended, true
	}
	if !denied {
		if s.state.Scarce && !claim.Hedge {
			s.state.Granted++
		}
		return s.state, false
	}
	began := !s.state.Scarce
	if began {
		s.state.Scarce, s.since = true, now
	}
	s.latest = now
	s.state.Denied++
	s.state.DeniedByPriority[min(claim.Priority, call.PriorityCount-1)]++
	return s.state, began
}
