package router

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
)

// hedgeDelay returns when to send a second attempt beside the first. Only the
// first attempt of a call is hedged.
func (c *Call) hedgeDelay() (time.Duration, bool) {
	if !c.hedge {
		return 0, false
	}
	now := c.router.config.Now()
	delay, known := c.delayOfKind(now)
	return delay, retry.MayHedge(retry.HedgeRequest{
		Enabled:    known,
		Idempotent: c.metadata.Idempotent,
		Replayable: true,
		Attempts:   c.attemptCount,
		// One instance is about to be tried and is not excluded yet.
		UnattemptedInstances: c.balancer.ReadyCount(c.excluded) - 1,
		Delay:                delay,
		Remaining:            c.metadata.Remaining(now),
		Left:                 c.account.Left(),
	})
}

func (c *Call) delayOfKind(now time.Time) (time.Duration, bool) {
	if own := c.router.config.HedgeDelay; own != nil {
		return own(c.metadata.Kind)
	}
	return c.balancer.HedgeDelay(now, c.metadata.Kind)
}

// race holds the attempts of a hedged call.
type race struct {
	call    *Call
	results chan contender
	running []contender
}

// contender is one attempt in a race.
type contender struct {
	number int
	cancel context.CancelFunc
	outcome
}

// sendHedged sends an attempt, and a second one to another instance when the
// first takes longer than delay. The first success wins; the other is cancelled.
func (c *Call) sendHedged(ctx context.Context, choice balancer.Choice, delay time.Duration) outcome {
	r := &race{call: c, results: make(chan contender, 2)}
	r.start(ctx, choice, c.account.Reserve())
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case first := <-r.results:
		return first.outcome
	case <-timer.C:
	}
	if !r.startHedge(ctx) {
		return (<-r.results).outcome
	}
	return r.winner()
}

func (r *race) start(ctx context.Context, choice balancer.Choice, passed call.Allowance) {
	ctx, cancel := context.WithCancel(ctx)
	entry := contender{number: len(r.running), cancel: cancel, outcome: outcome{choice: choice, passed: passed}}
	r.running = append(r.running, entry)
	go func() {
		entry.outcome = r.call.send(ctx, choice, passed)
		if entry.response == nil || entry.failure != nil {
			cancel()
		}
		r.results <- entry
	}()
}

// startHedge sends the second attempt with nothing to spend below it.
func (r *race) startHedge(ctx context.Context) bool {
	c := r.call
	first := r.running[0]
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
	r.start(ctx, choice, call.Allowance{})
	return true
}

// winner returns the first success, or the last failure.
func (r *race) winner() outcome {
	first := <-r.results
	if first.failure == nil && !first.failed() {
		loser := r.running[1-first.number]
		r.abandon(loser)
		return first.outcome
	}
	second := <-r.results
	r.call.discard(first.outcome)
	return second.outcome
}

// abandon cancels the loser. What was passed to it counts as spent.
func (r *race) abandon(loser contender) {
	c := r.call
	loser.cancel()
	go func() {
		late := <-r.results
		if late.response != nil {
			late.response.Close()
		}
		c.balancer.Done(c.router.config.Now(), late.choice, late.feedback())
	}()
}
