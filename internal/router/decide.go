package router

import (
	"net/http"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
)

// baselineRetries is the number of retries at each hop without the policy.
const baselineRetries = 3

// decide says what follows an attempt.
func (c *Call) decide(o outcome) retry.Decision {
	if !o.failed() {
		return retry.Decision{}
	}
	if c.ownKeyInProgress(o) && c.account.Left().Moves > 0 {
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
		Sent:                 o.passed,
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

// charge pays for what follows an attempt.
func (c *Call) charge(a retry.Action) bool {
	if c.router.config.Baseline {
		c.repeats++
		return c.repeats <= baselineRetries
	}
	return c.account.Charge(a.Cost())
}

// ownKeyInProgress reports that the key's owner has not yet heard that the
// previous attempt of this call was not run, which it is told in the background.
func (c *Call) ownKeyInProgress(o outcome) bool {
	return o.code() == resultcode.KeyInProgress && c.refusal != nil
}

// failedStatus reports whether an upstream's own status is worth a retry.
func failedStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
