package balancer

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// PickRequest describes the call an instance is wanted for.
type PickRequest struct {
	Kind     string
	Priority call.Priority
	Rank     uint32
	// Exclude lists instance IDs already tried.
	Exclude []string
	// LowestLevel asks for the instance with the lowest known level: set on a
	// move after a refusal.
	LowestLevel bool
	// NonIdempotent is set for a call that must not be repeated once an instance may have run
	// it: a lost answer fails it.
	NonIdempotent bool
	// Hedge is set for the second attempt at a call whose first still runs. Pick
	// counts it against the limit on hedges and fails when the limit is reached.
	Hedge bool
}

func (r PickRequest) level() admission.Level {
	return admission.Level{Priority: r.Priority, Rank: r.Rank}
}

// Choice is the instance picked for one attempt.
type Choice struct {
	Instance Instance
	Kind     string
	Started  time.Time

	state *instanceState
	// expected is the kind's usual latency in seconds at the time of the pick.
	expected float64
	probe    bool
}

// Feedback reports how an attempt ended.
type Feedback struct {
	Latency time.Duration
	Code    resultcode.Code
	// Execution is the outcome the node beside the instance reported.
	Execution resultcode.Execution
	// Failed is set for errors, including an upstream's own 5xx.
	Failed bool
	// NestedFailure is set when the failure comes from a service that the upstream
	// called.
	NestedFailure bool
	// Load is nil when the response carried none.
	Load *admission.Load
}
