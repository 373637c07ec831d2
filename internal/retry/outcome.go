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
	// NotSent is set when this node gave up before it sent the attempt, for
	// example because Balancer.Pick failed.
	NotSent bool
	// Idempotent is the call's own property. Running attempts of the same call,
	// such as a hedge, do not change it.
	Idempotent bool
	// Replayable is set when the request body can be sent again in full.
	Replayable bool
	// ResponseStarted is set when part of a response went to the caller.
	ResponseStarted bool
	// UnattemptedInstances is the number of ready instances that this call has not tried.
	UnattemptedInstances int
	// Attempts is the number of attempts made so far, at least one.
	Attempts int
	// Remaining is the time left to the call.
	Remaining time.Duration
	// Expected is the usual latency of the kind, zero when it is not known.
	Expected time.Duration
	// Sent is the share that went with the attempt, Spent what its Spent trailer
	// reports, zero without one. An attempt that spent all its retries is not
	// repeated: the services below have retried, or have shed the call.
	Sent, Spent call.Allowance
	// Left is the allowance left to this call.
	Left call.Allowance
}
