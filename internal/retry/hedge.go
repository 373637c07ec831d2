package retry

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// HedgeCost is what a hedge costs of the call's allowance.
var HedgeCost = call.Allowance{Retries: 1}

// HedgeRequest describes a call whose first attempt is in flight or about to be sent.
type HedgeRequest struct {
	// Enabled is set when calls of this kind may be hedged now and Delay is known.
	Enabled bool
	// Idempotent is a property of the call; only idempotent calls are hedged.
	Idempotent bool
	// Replayable is set when the request body can be sent again in full.
	Replayable bool
	// Attempts is the number of attempts so far; an attempt that is about to be sent
	// counts too. Only a call with a single attempt is hedged.
	Attempts int
	// UnattemptedInstances is the number of ready instances without an attempt of this
	// call. The instance to which the first attempt is about to be sent does not count.
	UnattemptedInstances int
	// Delay is how long the first attempt may take before the hedge is sent, Remaining
	// the time until the deadline.
	Delay, Remaining time.Duration
	// Left is the allowance left to this call.
	Left call.Allowance
}

// MayHedge reports whether a hedge may start after Delay if the first attempt has no
// response by then.
func MayHedge(r HedgeRequest) bool {
	allowed := r.Enabled && r.Idempotent && r.Replayable
	possible := r.Attempts == 1 && r.UnattemptedInstances > 0 && r.Remaining > r.Delay
	return allowed && possible && r.Left.Retries >= HedgeCost.Retries
}
