package retry

import (
	"math/rand/v2"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// backoffBase and backoffMax bound the wait before a retry. The wait is
	// uniform between half of the bound and the bound, so that calls that failed
	// together do not return together.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// Decide says what follows a failed attempt. It has no state and does no I/O.
// The router charges Action.Cost to the call's Account before it acts.
func Decide(o Outcome, random *rand.Rand) Decision {
	if o.ResponseStarted || !o.Replayable || o.Remaining <= o.Expected {
		return Decision{}
	}
	if o.Execution == resultcode.NotRun {
		return decideNotRun(o, random)
	}
	if !o.Idempotent || !failureMayPass(o.Code) || exhaustedBelow(o) {
		return Decision{}
	}
	return decideRetry(o, random)
}

func decideNotRun(o Outcome, random *rand.Rand) Decision {
	switch o.Code {
	case resultcode.Overloaded, resultcode.DeadlineInsufficient:
		return decideMove(o, true)
	case resultcode.Draining, resultcode.UpstreamUnreachable, resultcode.UpstreamRefused:
		return decideMove(o, false)
	case resultcode.OwnerUnavailable:
		// The owner of the key is the same for all instances, so only time helps.
		return decideRetry(o, random)
	case resultcode.CallerGone, resultcode.KeyInProgress, resultcode.NoInstance:
		return Decision{}
	}
	if o.Code == resultcode.OK || resultcode.Lookup(o.Code).MayRetry {
		return decideMove(o, false)
	}
	return Decision{}
}

// decideMove never returns to an instance that refused: it would refuse again
// and the refusals would add to its load.
func decideMove(o Outcome, lowestLevel bool) Decision {
	if o.NotSent || o.UnattemptedInstances == 0 || o.Left.Moves == 0 {
		return Decision{}
	}
	return Decision{Action: Move, LowestLevel: lowestLevel}
}

func decideRetry(o Outcome, random *rand.Rand) Decision {
	if o.Left.Retries == 0 {
		return Decision{}
	}
	backoff := Backoff(o.Attempts, random)
	if o.Remaining <= backoff+o.Expected {
		return Decision{}
	}
	return Decision{Action: Retry, Backoff: backoff}
}

// failureMayPass reports whether an attempt that may have been run failed for a
// reason that another attempt may not meet. Code zero is an upstream's own error
// response.
func failureMayPass(c resultcode.Code) bool {
	switch c {
	case resultcode.OK, resultcode.ConnectionLost, resultcode.AnswerMismatch:
		return true
	default:
		return false
	}
}

func exhaustedBelow(o Outcome) bool {
	return o.Sent.Retries > 0 && o.Spent.Retries >= o.Sent.Retries
}

// Backoff returns the wait before the attempt that follows the given number of
// attempts: exponential, capped and jittered.
func Backoff(attempts int, random *rand.Rand) time.Duration {
	bound := backoffMax
	if shift := max(attempts, 1) - 1; shift < 8 {
		bound = min(backoffBase<<shift, backoffMax)
	}
	half := bound / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
