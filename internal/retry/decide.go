package retry

import (
	"math/rand/v2"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// backoffBase and backoffMax are the first and the largest bound of the backoff before
	// a retry. The backoff is uniformly distributed between half of the bound and the
	// bound, so that calls that failed together are not retried together.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// Decide decides what follows a failed attempt. It has no state and does no I/O. The
// router charges Action.Cost to the call's Account before it acts on the decision.
func Decide(o Outcome, random *rand.Rand) Decision {
	if o.ResponseStarted || !o.Replayable || o.Remaining <= o.Expected {
		return Decision{}
	}
	if o.Execution == resultcode.NotRun {
		return decideNotRun(o, random)
	}
	if !o.Idempotent || !mayBeTransient(o.Code) || nestedRetriesExhausted(o) {
		return Decision{}
	}
	return decideRetry(o, random)
}

// decideNotRun decides after an attempt that was not run.
func decideNotRun(o Outcome, random *rand.Rand) Decision {
	switch o.Code {
	case resultcode.Overloaded, resultcode.DeadlineInsufficient:
		return decideMove(o, true)
	case resultcode.Draining, resultcode.UpstreamUnreachable, resultcode.UpstreamRefused:
		return decideMove(o, false)
	case resultcode.OwnerUnavailable:
		// All instances depend on the same owner of the key, so only a later attempt
		// can succeed.
		return decideRetry(o, random)
	case resultcode.CallerGone, resultcode.KeyInProgress, resultcode.NoInstance:
		return Decision{}
	}
	if o.Code == resultcode.OK || resultcode.Lookup(o.Code).MayRetry {
		return decideMove(o, false)
	}
	return Decision{}
}

// decideMove decides for a move if the failed attempt was sent, the allowance has a move
// left and there is an instance without an attempt. A call is never moved to an instance
// that refused it: that instance would refuse it again, and the refusals would add to its
// load.
func decideMove(o Outcome, preferLowestLevel bool) Decision {
	if o.NotSent || o.UnattemptedInstances == 0 || o.Left.Moves == 0 {
		return Decision{}
	}
	return Decision{Action: Move, PreferLowestLevel: preferLowestLevel}
}

// decideRetry decides for a retry unless no retry is left in the allowance or the
// backoff leaves less time than an attempt is expected to need.
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

// mayBeTransient reports whether an attempt that may have been run failed for a reason
// that need not affect a retry. The code OK stands for an upstream's own error response.
func mayBeTransient(c resultcode.Code) bool {
	switch c {
	case resultcode.OK, resultcode.ConnectionLost, resultcode.AnswerMismatch:
		return true
	default:
		return false
	}
}

// nestedRetriesExhausted reports whether the attempt's nested calls spent all retries
// that were sent with it, if any were.
func nestedRetriesExhausted(o Outcome) bool {
	return o.Sent.Retries > 0 && o.Spent.Retries >= o.Sent.Retries
}

// Backoff returns the backoff after the given number of attempts. Its bound starts at
// backoffBase, doubles with each attempt and is at most backoffMax; the backoff is drawn
// at random between half of the bound and the bound.
func Backoff(attempts int, random *rand.Rand) time.Duration {
	bound := backoffMax
	if shift := max(attempts, 1) - 1; shift < 8 {
		bound = min(backoffBase<<shift, backoffMax)
	}
	half := bound / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
