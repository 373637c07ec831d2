package retry

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Outcome describes a failed attempt and what the call still has.
type Outcome struct {
	Code resultcode.Code
	// Execution is what is proved about this attempt. Code does not override it.
	Execution resultcode.Execution
	// Local is set when this node gave up before it sent the attempt, for
	// example because Balancer.Pick failed.
	Local bool
	// Idempotent is the call's own property. Running attempts of the same call,
	// such as a hedge, do not change it.
	Idempotent bool
	// Replayable is set when the request body can be sent again in full.
	Replayable bool
	// ResponseStarted is set when part of a response went to the caller.
	ResponseStarted bool
	// Untried is the number of ready instances that this call has not tried.
	Untried int
	// Attempts is the number of attempts made so far, at least one.
	Attempts int
	// Remaining is the time left to the call.
	Remaining time.Duration
	// Expected is the usual latency of the kind, zero when it is not known.
	Expected time.Duration
	// Left is the allowance left to this call.
	Left call.Allowance
}
