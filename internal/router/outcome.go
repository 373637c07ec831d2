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

// outcome is how one attempt ended: a response or a failure, or both when a node
// responded with a result code other than OK.
type outcome struct {
	response *peer.Response
	failure  *resultcode.Error
	// choice is the instance that was picked for the attempt.
	choice     balancer.Choice
	bodyReader *BodyReader
	// allowance was passed to the attempt for its nested calls.
	allowance call.Allowance
	// latency is the time until the response header or the failure.
	latency time.Duration
	// refunded is set once the unspent allowance has been returned to the account.
	refunded bool
}

// code returns the code of the failure, OK when the upstream responded.
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

// failed reports whether the attempt failed or the upstream itself responded with a
// status that justifies a retry.
func (o outcome) failed() bool {
	return o.failure != nil || retryableStatus(o.response.Status)
}

// load returns the load that the instance reported, nil without one.
func (o outcome) load() *admission.Load {
	if o.response == nil {
		return nil
	}
	return o.response.Load
}

// feedback returns the outcome as it is reported to the balancer.
func (o outcome) feedback() balancer.Feedback {
	failed := o.failure != nil || o.response.Status >= http.StatusInternalServerError
	return balancer.Feedback{
		Latency: o.latency, Code: o.code(), Execution: o.execution(), Failed: failed, Load: o.load(),
	}
}

// reportedSpent returns the allowance that the attempt's nested calls spent, at most
// what was passed, and false while there is no report. An attempt that was not run
// spent nothing.
func (o outcome) reportedSpent() (spent call.Allowance, known bool) {
	if o.response != nil {
		if spent, known := o.response.Spent(); known {
			return o.allowance.Minus(o.allowance.Minus(spent)), true
		}
	}
	return call.Allowance{}, o.execution() == resultcode.NotRun
}

// spent returns the allowance that the attempt's nested calls spent as reported, or the
// whole allowance when there is no report.
func (o outcome) spent() call.Allowance {
	if spent, known := o.reportedSpent(); known {
		return spent
	}
	return o.allowance
}
