package retry

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Outcome describes a failed attempt and what is left to the call.
type Outcome struct {
	// Code is OK when the upstream itself responded with an error.
	Code resultcode.Code
	// Execution is what is proven about the execution of this attempt, whatever Code
	// usually implies.
	Execution resultcode.Execution
	// NotSent is set when this node did not send the attempt, for example because
	// Balancer.Pick failed.
	NotSent bool
	// Idempotent is a property of the call. Other attempts of the same call that are in
	// flight, such as a hedge, do not change it.
	Idempotent bool
	// Replayable is set when the request body can be sent again in full.
	Replayable bool
	// ResponseStarted is set when part of a response was sent to the caller.
	ResponseStarted bool
	// UnattemptedInstances is the number of ready instances without an attempt of this
	// call.
	UnattemptedInstances int
	// Attempts is the number of attempts made so far, at least one.
	Attempts int
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
	// Expected is the usual latency of the call's kind, zero when it is not known.
	Expected time.Duration
	// Sent is the share of the allowance that was sent with the attempt, Spent how much
	// of it the attempt's nested calls spent; the router passes all of Sent when the
	// upstream's node did not report that. An attempt that spent all its retries is not
	// retried: nested calls were retried already or were shed.
	Sent, Spent call.Allowance
	// Left is the allowance left to this call.
	Left call.Allowance
}
