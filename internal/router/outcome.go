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
	view     *BodyReader
	// passed is the allowance given to the attempt for the calls below it.
	passed  call.Allowance
	latency time.Duration
	// accounted is set once what was not spent is back in the call's account.
	accounted bool
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

// failed reports a failure, including an upstream's own gateway status.
func (o outcome) failed() bool {
	return o.failure != nil || failedStatus(o.response.Status)
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

// reported returns what was spent below the attempt, and false while there is no
// report. Nothing was spent by an attempt that was not run.
func (o outcome) reported() (spent call.Allowance, known bool) {
	if o.response != nil {
		if spent, known := o.response.Spent(); known {
			return o.passed.Minus(o.passed.Minus(spent)), true
		}
	}
	return call.Allowance{}, o.execution() == resultcode.NotRun
}

// spent is reported with everything that was passed in place of no report.
func (o outcome) spent() call.Allowance {
	if spent, known := o.reported(); known {
		return spent
	}
	return o.passed
}
