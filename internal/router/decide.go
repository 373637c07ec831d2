package router

import (
	"net/http"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
)

// maxBaselineRetries is the largest number of retries and moves at each hop with
// Config.Baseline. It replaces the allowance.
const maxBaselineRetries = 3

// decide returns what follows an attempt: a retry, a move or nothing.
func (c *Call) decide(o outcome) retry.Decision {
	if !o.failed() {
		return retry.Decision{}
	}
	if c.keyHeldByPreviousAttempt(o) && c.account.Left().Moves > 0 {
		return retry.Decision{Action: retry.Move, Backoff: keyReleaseDelay}
	}
	failed := retry.Outcome{
		Code:                 o.code(),
		Execution:            o.execution(),
		Idempotent:           c.metadata.Idempotent,
		Replayable:           true,
		UnattemptedInstances: c.balancer.ReadyCount(append(c.excluded, o.choice.Instance.ID)),
		Attempts:             c.attemptCount,
		Remaining:            c.metadata.Remaining(c.router.config.Now()),
		Sent:                 o.allowance,
		Spent:                o.spent(),
		Left:                 c.account.Left(),
	}
	if c.router.config.Baseline {
		failed.UnattemptedInstances = 1
		failed.Sent = call.Allowance{}
		failed.Left = call.Allowance{Retries: 1, Moves: 1}
	}
	return retry.Decide(failed, c.router.config.Random())
}

// charge takes the cost of a retry or a move from the account and reports whether the
// account covered it. With Config.Baseline it counts retries and moves instead and
// reports whether there were at most maxBaselineRetries.
func (c *Call) charge(a retry.Action) bool {
	if c.router.config.Baseline {
		c.baselineRetries++
		return c.baselineRetries <= maxBaselineRetries
	}
	return c.account.Charge(a.Cost())
}

// keyHeldByPreviousAttempt reports whether the attempt failed because the owner of the
// idempotency key, the node that grants the permission to run a call with the key, still
// holds the key for the previous attempt of this call. That attempt was not run, but its
// node reports this to the owner in the background and the report has not arrived yet.
func (c *Call) keyHeldByPreviousAttempt(o outcome) bool {
	return o.code() == resultcode.KeyInProgress && c.notRunFailure != nil
}

// retryableStatus reports whether a status from the upstream itself justifies a
// retry.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
