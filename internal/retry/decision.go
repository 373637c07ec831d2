package retry

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Action says what follows a failed attempt.
type Action uint8

const (
	// Stop hands the outcome to the caller.
	Stop Action = iota
	// Move sends the call to an instance it has not tried. It follows only a
	// proven not-run outcome, so it repeats no work.
	Move
	// Retry sends the call again after Backoff, to an instance it has not tried
	// if there is one.
	Retry
)

// String returns the name used in metrics.
func (a Action) String() string {
	switch a {
	case Move:
		return "move"
	case Retry:
		return "retry"
	default:
		return "stop"
	}
}

// Cost returns what the action takes from the call's allowance.
func (a Action) Cost() call.Allowance {
	switch a {
	case Move:
		return call.Allowance{Moves: 1}
	case Retry:
		return call.Allowance{Retries: 1}
	default:
		return call.Allowance{}
	}
}

// Decision is an action and how to carry it out.
type Decision struct {
	Action Action
	// Backoff is the wait before the next attempt; moves do not wait.
	Backoff time.Duration
	// LowestLevel goes to balancer.PickRequest: the refusal was one of load, so
	// the instance with the lowest known level is wanted.
	LowestLevel bool
}
