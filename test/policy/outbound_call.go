package policy

import (
	"context"
	"errors"
	"time"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
)

// outboundCall is a call that a node sends to a service, with the attempts, moves and
// hedges of the daemon's router.
type outboundCall struct {
	node    *node
	service int
	request request
	// account holds the allowance of the call.
	account *retry.Account
	// attempted holds the ids of the instances that the policy has picked and that the
	// next pick excludes. It is emptied for a retry once no other instance is ready.
	attempted []string
	// preferLowestLevel makes the next pick choose the instance with the lowest known
	// level: the priority and rank below which the instance sheds calls.
	preferLowestLevel bool
}

// call makes one call with the retries of the policy or of the baseline and returns
// what it spent of its allowance.
func (n *node) call(ctx context.Context, service int, req request) (callResult, call.Allowance) {
	c := &outboundCall{node: n, service: service, request: req, account: retry.NewAccount(req.meta.Allowance)}
	if n.cluster.scenario.Baseline {
		return c.sendBaseline(ctx), call.Allowance{}
	}
	return c.sendWithPolicy(ctx)
}

// sendBaseline makes up to baselineRetries retries after any failure.
func (c *outboundCall) sendBaseline(ctx context.Context) callResult {
	var result callResult
	for range 1 + baselineRetries {
		choice, err := c.pick(false)
		if err != nil {
			return errorResult(err)
		}
		result = c.send(ctx, choice, c.request.derive(call.Allowance{}))
		if result.succeeded() || ctx.Err() != nil {
			return result
		}
		_ = sleep(ctx, baselineBackoff)
	}
	return result
}

// sendWithPolicy makes attempts for as long as the retry policy and the allowance
// permit. Once all ready instances were attempted, a retry may go to any of them.
func (c *outboundCall) sendWithPolicy(ctx context.Context) (callResult, call.Allowance) {
	for attemptNumber := 1; ; attemptNumber++ {
		result, notSent := c.attempt(ctx, attemptNumber)
		if result.succeeded() || ctx.Err() != nil {
			return result, c.account.Spent()
		}
		d := retry.Decide(c.outcome(result, notSent, attemptNumber), c.request.random)
		if d.Action == retry.Stop || !c.account.Charge(d.Action.Cost()) {
			c.node.cluster.results.checkRefusal(c, result, notSent)
			return result, c.account.Spent()
		}
		c.preferLowestLevel = d.PreferLowestLevel
		if d.Action == retry.Retry && c.balancer().ReadyCount(c.attempted) == 0 {
			c.attempted = nil
		}
		_ = sleep(ctx, d.Backoff)
	}
}

// outcome returns what the retry policy has to know about an attempt.
func (c *outboundCall) outcome(result callResult, notSent bool, attemptNumber int) retry.Outcome {
	return retry.Outcome{
		Code: result.code, Execution: result.execution, NotSent: notSent, Idempotent: c.request.class.Idempotent,
		Replayable: true, UnattemptedInstances: c.balancer().ReadyCount(c.attempted), Attempts: attemptNumber,
		Remaining: time.Until(c.request.meta.Deadline), Left: c.account.Left(),
		Sent: result.sent, Spent: result.spent,
	}
}

// attempt makes one attempt and, when it is due, its hedge, and returns the first success
// or the last failure. Attempts are numbered from 1. notSent reports that the attempt
// failed at the local node before anything was sent.
func (c *outboundCall) attempt(ctx context.Context, attemptNumber int) (result callResult, notSent bool) {
	choice, err := c.pick(false)
	if err != nil {
		return errorResult(err), true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, 2)
	c.startAttempt(ctx, choice, results)
	pending := 1
	hedgeDue := c.hedgeTimer(attemptNumber)
	for pending > 0 {
		select {
		case result = <-results:
			pending--
			if result.received {
				c.account.Refund(result.sent, result.spent)
			}
			if result.succeeded() {
				return result, false
			}
		case <-hedgeDue:
			hedgeDue = nil
			if c.startHedge(ctx, results) {
				pending++
			}
		}
	}
	return result, false
}

// hedgeTimer returns a channel that receives when a hedge is due, and nil when the
// call may not be hedged.
func (c *outboundCall) hedgeTimer(attemptNumber int) <-chan time.Time {
	delay, ok := c.balancer().HedgeDelay(time.Now(), c.request.meta.Kind)
	allowed := retry.MayHedge(retry.HedgeRequest{
		Enabled: ok, Idempotent: c.request.class.Idempotent, Replayable: true, Attempts: attemptNumber,
		UnattemptedInstances: c.balancer().ReadyCount(c.attempted), Delay: delay, Remaining: time.Until(c.request.meta.Deadline), Left: c.account.Left(),
	})
	if !allowed {
		return nil
	}
	return time.After(delay)
}

// startHedge starts the hedge and reports whether an instance was available and the
// allowance covered its cost.
func (c *outboundCall) startHedge(ctx context.Context, results chan<- callResult) bool {
	choice, err := c.pick(true)
	if err != nil {
		return false
	}
	if !c.account.Charge(retry.HedgeCost) {
		c.balancer().Done(time.Now(), choice, balancer.Feedback{Code: resultcode.CallerGone, Execution: resultcode.NotRun})
		return false
	}
	c.startAttempt(ctx, choice, results)
	return true
}

// startAttempt sends an attempt in the background. Its result carries the allowance
// that was sent, so that only the loop of attempt uses the account.
func (c *outboundCall) startAttempt(ctx context.Context, choice balancer.Choice, results chan<- callResult) {
	allowance := c.account.Reserve()
	req := c.request.derive(allowance)
	go func() {
		results <- c.send(ctx, choice, req)
	}()
}

// send makes one attempt at the chosen instance and reports its result to the
// balancer.
func (c *outboundCall) send(ctx context.Context, choice balancer.Choice, req request) callResult {
	req.meta.Attempt = newUUID(req.random)
	started := time.Now()
	result := c.roundTrip(ctx, choice.Instance.ID, req)
	result.sent = req.meta.Allowance
	c.balancer().Done(time.Now(), choice, balancer.Feedback{
		Latency: time.Since(started), Code: result.code, Execution: result.execution, Failed: result.failed, Load: result.load,
	})
	return result
}

// roundTrip carries a request to the instance and its response back. When ctx ends, it
// returns immediately: CallerGone if the caller gave up and DeadlineExceeded at the
// deadline. An execution that may have run and whose response is lost this way counts
// as abandoned.
func (c *outboundCall) roundTrip(ctx context.Context, id string, req request) callResult {
	results := c.node.cluster.results
	if sleep(ctx, hopDelay) != nil {
		return contextResult(ctx)
	}
	result := c.node.cluster.byID[id].serve(ctx, req)
	if ctx.Err() != nil || sleep(ctx, hopDelay) != nil {
		if result.execution != resultcode.NotRun {
			results.addAbandoned()
		}
		return contextResult(ctx)
	}
	return result
}

// contextResult returns the result that the caller sees when ctx has ended.
func contextResult(ctx context.Context) callResult {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return callResult{code: resultcode.DeadlineExceeded}
	}
	return callResult{code: resultcode.CallerGone}
}

// pick chooses an instance for an attempt, or for a hedge if hedge is set. The policy
// excludes the instances that were attempted, the baseline does not.
func (c *outboundCall) pick(hedge bool) (balancer.Choice, error) {
	choice, err := c.balancer().Pick(time.Now(), balancer.PickRequest{
		Kind: c.request.meta.Kind, Priority: c.request.meta.Priority, Rank: c.request.meta.Rank(),
		Exclude: c.attempted, PreferLowestLevel: c.preferLowestLevel, Hedge: hedge,
	})
	if err == nil && !c.node.cluster.scenario.Baseline {
		c.attempted = append(c.attempted, choice.Instance.ID)
	}
	return choice, err
}

func (c *outboundCall) balancer() *balancer.Balancer {
	return c.node.balancers[c.service]
}

// errorResult returns the result of a call for which no instance could be chosen.
func errorResult(err error) callResult {
	var e *resultcode.Error
	if errors.As(err, &e) {
		return callResult{code: e.Code, execution: e.Execution}
	}
	return callResult{code: resultcode.Internal}
}
