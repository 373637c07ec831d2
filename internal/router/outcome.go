package router

import (
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/peer"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// outcome is the end of one attempt: a response or a failure, or both when a
// node answered with a result code.
type outcome struct {
	response *peer.Response
	failure  *resultcode.Error
	choice   balancer.Choice
	view     *View
	// passed is the allowance given to the attempt for the calls below it.
	passed  call.Allowance
	latency time.Duration
}

func (o outcome) code() resultcode.Code {
	if o.failure != nil {
		return o.failure.Code
	}
	return resultcode.OK
}

func (o outcome) execution() resultcode.Execution {
	if o.failure != nil {
		return o.failure.Execution
	}
	return o.response.Execution
}

// failed reports a failure after which an idempotent call may be repeated.
func (o outcome) failed() bool {
	if o.failure == nil {
		return failedStatus(o.response.Status)
	}
	switch o.failure.Code {
	case resultcode.ConnectionLost, resultcode.AnswerMismatch:
		return true
	}
	return false
}

func (o outcome) load() *admission.Load {
	if o.response == nil {
		return nil
	}
	return o.response.Load
}

func (o outcome) feedback() balancer.Feedback {
	failed := o.failure != nil || o.response.Status >= http.StatusInternalServerError
	return balancer.Feedback{
		Latency: o.latency, Code: o.code(), Execution: o.execution(), Failed: failed, Load: o.load(),
	}
}

// spent returns what was spent below the attempt. Without a report everything
// that was passed counts as spent, unless nothing was run.
func (o outcome) spent() call.Allowance {
	if o.response != nil {
		if spent, known := o.response.Spent(); known {
			return o.passed.Minus(o.passed.Minus(spent))
		}
	}
	if o.execution() == resultcode.NotRun {
		return call.Allowance{}
	}
	return o.passed
}
