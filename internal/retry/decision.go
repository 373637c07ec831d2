package retry

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Action is what follows a failed attempt.
type Action uint8

const (
	// Stop returns the outcome to the caller.
	Stop Action = iota
	// Move sends the call to an instance without an earlier attempt of the call. It
	// follows only an outcome that proves that the call was not run, so no work is done
	// twice.
	Move
	// Retry sends the call again after Decision.Backoff, to an instance without an
	// earlier attempt of the call if there is one.
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

// Cost returns what the action costs of the call's allowance.
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

// Decision is an action and its parameters.
type Decision struct {
	Action Action
	// Backoff is the delay before the next attempt. Decide leaves it zero for moves.
	Backoff time.Duration
	// PreferLowestLevel is passed on to balancer.PickRequest. Decide sets it for a move
	// after a refusal for lack of capacity or time, to ask for the instance with the lowest
	// known level.
	PreferLowestLevel bool
}
