package router

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/peer"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
)

// keyReleaseDelay is some round trips between failure domains.
const keyReleaseDelay = 5 * time.Millisecond

// maxDiscardBytes bounds what is read of a response that is not relayed, to
// learn from its trailer what was spent below it.
const maxDiscardBytes = 64 << 10

// Call is one outgoing call. It is used by one goroutine.
type Call struct {
	router   *Router
	balancer *balancer.Balancer
	metadata call.Metadata
	request  peer.Request
	body     *Body
	hedge    bool

	account  *retry.Account
	excluded []string
	lowest   bool
	// attemptCount counts attempts other than hedges, and repeats those after the
	// first under the baseline.
	attemptCount, repeats int
	// refusal is the not-run outcome that the next attempt is a move after.
	refusal *resultcode.Error
	// earlier is a failure of an earlier attempt that may have run the call.
	earlier *resultcode.Error
	final   outcome
	settled bool
}

// Start sends a call until it has a response or fails. The request's body is
// taken from body. Without an error, the response must be read to its end or
// given up, then Finish called.
func (r *Router) Start(ctx context.Context, m call.Metadata, request peer.Request, body *Body, hedge bool) (*Call, *peer.Response, error) {
	c := &Call{
		router:   r,
		metadata: m,
		request:  request,
		body:     body,
		hedge:    hedge && m.Idempotent && body.Empty() && !r.config.Baseline,
		account:  retry.NewAccount(m.Allowance),
	}
	found, err := r.find(m.Service)
	if err != nil {
		return c, nil, err
	}
	c.balancer = found
	o, failure := c.attempts(ctx)
	if failure != nil {
		return c, nil, failure
	}
	c.final = o
	return c, o.response, nil
}

// attempts sends attempts until one is final.
func (c *Call) attempts(ctx context.Context) (outcome, *resultcode.Error) {
	for {
		o, err := c.next(ctx)
		if err != nil {
			return outcome{}, c.conclude(resultcode.From(err))
		}
		if !c.tryAgain(ctx, &o) {
			return c.last(o)
		}
	}
}

// next picks an instance and sends one attempt, hedged where that is allowed.
func (c *Call) next(ctx context.Context) (outcome, error) {
	choice, err := c.pick(false)
	if err != nil && c.refusal != nil {
		// The other instances refuse this level too; the move was not made.
		return outcome{}, c.refusal
	}
	if err != nil {
		return outcome{}, err
	}
	c.attemptCount++
	if delay, ok := c.hedgeDelay(); ok {
		return c.sendHedged(ctx, choice, delay), nil
	}
	return c.send(ctx, choice, c.account.Reserve()), nil
}

func (c *Call) pick(hedge bool) (balancer.Choice, error) {
	return c.balancer.Pick(c.router.config.Now(), balancer.PickRequest{
		Kind: c.metadata.Kind, Priority: c.metadata.Priority, Rank: c.metadata.Rank(),
		Exclude: c.excluded, LowestLevel: c.lowest, NonIdempotent: !c.metadata.Idempotent, Hedge: hedge,
	})
}

// send makes one attempt. It does not touch the budget, so that a hedge can run
// beside it.
func (c *Call) send(ctx context.Context, choice balancer.Choice, passed call.Allowance) outcome {
	m := c.metadata
	m.Attempt = uuid.New()
	m.Allowance = passed
	view := c.body.NewReader()
	request := c.request
	request.Body = view
	started := c.router.config.Now()
	response, err := c.router.config.Forwarder.Forward(ctx, choice.Instance.PeerAddress, m, &request, view.Accept)
	o := outcome{response: response, choice: choice, view: view, passed: passed, latency: c.router.config.Now().Sub(started)}
	switch {
	case err != nil:
		o.failure = resultcode.From(err)
	case response.Failure != nil:
		o.failure = response.Failure
	}
	return o
}

// tryAgain decides about another attempt, pays for it and ends this one.
func (c *Call) tryAgain(ctx context.Context, o *outcome) bool {
	if ctx.Err() != nil || !c.router.config.Now().Before(c.metadata.Deadline) {
		return false
	}
	c.giveBack(o)
	next := c.decide(*o)
	if next.Action == retry.Stop || !c.canResend(*o) || !c.charge(next.Action) {
		return false
	}
	c.discard(*o)
	c.prepare(next, *o)
	sleep(ctx, next.Backoff)
	return true
}

// prepare sets up the next attempt.
func (c *Call) prepare(next retry.Decision, o outcome) {
	c.lowest = next.LowestLevel
	if next.Action == retry.Move {
		if o.code() != resultcode.KeyInProgress {
			c.refusal = o.failure
		}
		c.router.moves.Inc(1)
		return
	}
	c.refusal = nil
	if c.balancer.ReadyCount(c.excluded) == 0 {
		// A retry, unlike a move, may go to an instance that was tried.
		c.excluded = c.excluded[:0]
	}
	c.router.retries.Inc(1)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// canResend closes the attempt's view of the body, after which no more of the
// source is read for it.
func (c *Call) canResend(o outcome) bool {
	if c.body.Empty() {
		return true
	}
	if !c.body.Replayable() || c.body.Err() != nil {
		return false
	}
	_ = o.view.Close()
	return c.body.Replayable()
}

// discard ends an attempt that is followed by another.
func (c *Call) discard(o outcome) {
	if o.response != nil {
		if o.failure == nil {
			_, _ = io.CopyN(io.Discard, o.response, maxDiscardBytes)
		}
		o.response.Close()
	}
	c.settle(o)
	if !c.router.config.Baseline && o.code() != resultcode.KeyInProgress {
		c.excluded = append(c.excluded, o.choice.Instance.ID)
	}
	if o.execution() != resultcode.NotRun {
		c.earlier = mayHaveRun(o)
	}
}

// settle accounts for the end of an attempt.
func (c *Call) settle(o outcome) {
	c.giveBack(&o)
	c.balancer.Done(c.router.config.Now(), o.choice, o.feedback())
}

// giveBack returns to the account what the attempt reported as not spent. What
// it does not report counts as spent.
func (c *Call) giveBack(o *outcome) {
	spent, known := o.reported()
	if o.accounted || !known {
		return
	}
	o.accounted = true
	c.account.Refund(o.passed, spent)
}

// last returns the outcome that ends the call.
func (c *Call) last(o outcome) (outcome, *resultcode.Error) {
	if o.failure == nil {
		return o, nil
	}
	c.settle(o)
	return outcome{}, c.conclude(c.interrupted(o.failure))
}

// interrupted replaces a failure whose cause is the request body.
func (c *Call) interrupted(failure *resultcode.Error) *resultcode.Error {
	cause := c.body.Err()
	if cause == nil || failure.Execution == resultcode.Run {
		return failure
	}
	notRun := failure.Execution == resultcode.NotRun
	// Reading the body also fails because the time ran out.
	expired := !c.router.config.Now().Before(c.metadata.Deadline)
	switch {
	case expired && notRun:
		return resultcode.Wrap(cause, resultcode.DeadlineInsufficient, "the time ran out before the body was complete")
	case expired:
		return resultcode.Wrap(cause, resultcode.DeadlineExceeded, "the time ran out before the body was complete")
	case notRun:
		return resultcode.Wrap(cause, resultcode.From(cause).Code, "the request body ended early")
	}
	return resultcode.Wrap(cause, resultcode.RequestInterrupted, "the request body ended early")
}

// conclude keeps a call from being reported as not run when an earlier attempt
// may have run it.
func (c *Call) conclude(failure *resultcode.Error) *resultcode.Error {
	if failure.Execution == resultcode.NotRun && c.earlier != nil {
		return c.earlier
	}
	return failure
}

// mayHaveRun returns the failure to report should no later attempt run.
func mayHaveRun(o outcome) *resultcode.Error {
	if o.failure != nil {
		return o.failure
	}
	return resultcode.New(resultcode.ConnectionLost, "an attempt ended with the upstream's status %d", o.response.Status)
}

// Finish accounts for the final attempt once its body has ended or was given
// up, and returns what the call and everything below it spent.
func (c *Call) Finish() call.Allowance {
	if c.final.response != nil && !c.settled {
		c.settled = true
		c.settle(c.final)
		c.final.response.Close()
		_ = c.final.view.Close()
	}
	return c.account.Spent()
}
