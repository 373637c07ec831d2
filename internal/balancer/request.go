package balancer

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// PickRequest describes the call for which an instance is picked.
type PickRequest struct {
	Kind     string
	Priority call.Priority
	Rank     uint32
	// Exclude lists the IDs of instances that must not be picked, such as those that
	// already had an attempt at this call. A request that excludes none and is not a hedge
	// is taken for the first attempt of a call, which adds to the number of hedges allowed.
	Exclude []string
	// PreferLowestLevel asks for the instance with the lowest known level instead of the
	// cheapest one. It is set only on new attempts after the first one, such as a move
	// after a refusal.
	PreferLowestLevel bool
	// NonIdempotent is set for a call that must not be retried once an instance may have
	// run it: a lost response fails the call.
	NonIdempotent bool
	// Hedge is set for a second attempt beside one that still runs. Pick counts it
	// against the hedge limit, even when it finds no instance, and fails when the limit is
	// reached.
	Hedge bool
}

// level returns the call's own priority and rank, for comparison with the levels of
// instances.
func (r PickRequest) level() admission.Level {
	return admission.Level{Priority: r.Priority, Rank: r.Rank}
}

// Choice is the instance picked for one attempt.
type Choice struct {
	Instance Instance
	Kind     string
	Started  time.Time

	state *instanceState
	// expected is the kind's mean latency in seconds at the time of the pick, zero when
	// it is not known.
	expected float64
	// probe is set when the attempt probes an ejected instance.
	probe bool
}

// Feedback is the outcome of an attempt.
type Feedback struct {
	Latency time.Duration
	Code    resultcode.Code
	// Execution is what is known about the execution of the attempt.
	Execution resultcode.Execution
	// Failed is set when the attempt ended with an error, including a 5xx status of the
	// upstream itself.
	Failed bool
	// NestedFailure is set when a nested call caused the failure.
	NestedFailure bool
	// Load is the load of the instance, nil when the response carried none.
	Load *admission.Load
}
