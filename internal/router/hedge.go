package router

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
)

// hedgeDelay returns how long the attempt that is about to be sent may take before a
// hedge is sent, and false when the attempt must not be hedged. Only the first attempt
// of a call is hedged.
func (c *Call) hedgeDelay() (time.Duration, bool) {
	if !c.mayHedge {
		return 0, false
	}
	now := c.router.config.Now()
	delay, known := c.kindHedgeDelay(now)
	return delay, retry.MayHedge(retry.HedgeRequest{
		Enabled:    known,
		Idempotent: c.metadata.Idempotent,
		Replayable: true,
		Attempts:   c.attemptCount,
		// The instance of the first attempt is not excluded yet.
		UnattemptedInstances: c.balancer.ReadyCount(c.excluded) - 1,
		Delay:                delay,
		Remaining:            c.metadata.Remaining(now),
		Left:                 c.account.Left(),
	})
}

// kindHedgeDelay returns the hedge delay for the call's kind, and false when calls of the
// kind must not be hedged now.
func (c *Call) kindHedgeDelay(now time.Time) (time.Duration, bool) {
	if override := c.router.config.HedgeDelay; override != nil {
		return override(c.metadata.Kind)
	}
	return c.balancer.HedgeDelay(now, c.metadata.Kind)
}

// hedgedCall holds the first attempt of a call and its hedge.
type hedgedCall struct {
	call *Call
	// results receives each attempt, with its outcome, once the attempt has a response
	// header or has failed.
	results chan hedgedAttempt
	// started holds the attempts that were started, without their outcomes.
	started []hedgedAttempt
}

// hedgedAttempt is the first attempt of a hedged call or its hedge.
type hedgedAttempt struct {
	// number is the index in hedgedCall.started: 0 for the first attempt, 1 for the hedge.
	number int
	cancel context.CancelFunc
	outcome
}

// sendHedged sends an attempt, and a hedge to another instance when the first attempt
// takes longer than delay. When one of the two succeeds, it cancels the other and returns
// the outcome of the success; when both fail, it returns that of the later failure.
// Without a hedge it returns the outcome of the attempt.
func (c *Call) sendHedged(ctx context.Context, choice balancer.Choice, delay time.Duration) outcome {
	h := &hedgedCall{call: c, results: make(chan hedgedAttempt, 2)}
	h.start(ctx, choice, c.account.Reserve())
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case first := <-h.results:
		return first.outcome
	case <-timer.C:
	}
	if !h.startHedge(ctx) {
		return (<-h.results).outcome
	}
	return h.firstSuccess()
}

// start starts an attempt, which is sent to results with its outcome.
func (h *hedgedCall) start(ctx context.Context, choice balancer.Choice, allowance call.Allowance) {
	ctx, cancel := context.WithCancel(ctx)
	attempt := hedgedAttempt{number: len(h.started), cancel: cancel, outcome: outcome{choice: choice, allowance: allowance}}
	h.started = append(h.started, attempt)
	go func() {
		attempt.outcome = h.call.sendAttempt(ctx, choice, allowance)
		if attempt.response == nil || attempt.failure != nil {
			cancel()
		}
		h.results <- attempt
	}()
}

// startHedge starts the hedge, with an empty allowance for its nested calls. It returns
// false when no other instance can be picked, the balancer's hedge limit is reached or
// the account does not cover the hedge.
func (h *hedgedCall) startHedge(ctx context.Context) bool {
	c := h.call
	first := h.started[0]
	c.excluded = append(c.excluded, first.choice.Instance.ID)
	choice, err := c.pick(c.router.config.HedgeDelay == nil)
	c.excluded = c.excluded[:0]
	if err != nil {
		return false
	}
	if !c.account.Charge(retry.HedgeCost) {
		c.balancer.Done(c.router.config.Now(), choice, balancer.Feedback{Code: resultcode.CallerGone, Execution: resultcode.NotRun})
		return false
	}
	c.router.hedges.Inc(1)
	h.start(ctx, choice, call.Allowance{})
	return true
}

// firstSuccess returns the outcome of the attempt that succeeds first, or of the one that
// fails last when both fail. It discards the first failure.
func (h *hedgedCall) firstSuccess() outcome {
	first := <-h.results
	if first.failure == nil && !first.failed() {
		other := h.started[1-first.number]
		h.cancelOther(other)
		return first.outcome
	}
	second := <-h.results
	h.call.discard(first.outcome)
	return second.outcome
}

// cancelOther cancels the other attempt of a hedged call after one has succeeded. In the
// background, it reports the cancelled attempt to the balancer once that attempt has a
// response or has failed. The whole allowance of the cancelled attempt counts as spent.
func (h *hedgedCall) cancelOther(other hedgedAttempt) {
	c := h.call
	other.cancel()
	go func() {
		cancelled := <-h.results
		if cancelled.response != nil {
			cancelled.response.Close()
		}
		c.balancer.Done(c.router.config.Now(), cancelled.choice, cancelled.feedback())
	}()
}
