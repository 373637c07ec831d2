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
}

// Choice is the instance picked for one attempt.
type Choice struct {
	Instance Instance
	Kind     string
	Started  time.Time
}

// Feedback reports how an attempt ended.
type Feedback struct {
	Latency time.Duration
	Code    resultcode.Code
	// Execution is the outcome the node beside the instance reported.
	Execution resultcode.Execution
	// Failed is set for errors, including an upstream's own 5xx.
	Failed bool
	// Load is nil when the response carried none.
	Load *admission.Load
}
