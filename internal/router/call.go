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

// keyReleaseDelay is the wait before a move while the key's owner still holds
// the key for the previous attempt: a few round trips between failure domains.
const keyReleaseDelay = 5 * time.Millisecond

// maxDiscardBytes bounds how much is read of a response that is not relayed. It
// is read for its trailer, which reports what nested calls spent.
const maxDiscardBytes = 64 << 10

// Call is one call that this node sends. It is not safe for concurrent use.
type Call struct {
	router   *Router
	balancer *balancer.Balancer
	metadata call.Metadata
	request  peer.Request
	body     *Body
	hedge    bool

	account           *retry.Account
	excluded          []string
	preferLowestLevel bool
	// attemptCount counts attempts other than hedges. baselineRetries counts the
	// retries and moves when Config.Baseline is set.
	attemptCount, baselineRetries int
	// refusal is the not-run outcome that led to a move; nil after a retry.
	refusal *resultcode.Error
	// earlierFailure is the failure of an earlier attempt that may have run the
	// call.
	earlierFailure *resultcode.Error
	final          outcome
	finished       bool
}

// Start sends a call, with retries, moves and hedges, until it has a response or
// fails. The request body comes from body; request.Body is not used. When Start
// returns no error, the caller reads the response to its end or abandons it, and
// then calls Finish.
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
	o, failure := c.sendAttempts(ctx)
	if failure != nil {
		return c, nil, failure
	}
	c.final = o
	return c, o.response, nil
}

// sendAttempts sends attempts until one is final.
func (c *Call) sendAttempts(ctx context.Context) (outcome, *resultcode.Error) {
	for {
		o, err := c.nextAttempt(ctx)
		if err != nil {
			return outcome{}, c.withEarlierFailure(resultcode.From(err))
		}
		if !c.retryOrMove(ctx, &o) {
			return c.finalResult(o)
		}
	}
}

// nextAttempt picks an instance and sends one attempt, with a hedge where that is
// allowed.
func (c *Call) nextAttempt(ctx context.Context) (outcome, error) {
	choice, err := c.pick(false)
	if err != nil && c.refusal != nil {
		// The other instances refuse this level too, so the move is not made and
		// the refusal stands.
		return outcome{}, c.refusal
	}
	if err != nil {
		return outcome{}, err
	}
	c.attemptCount++
	if delay, ok := c.hedgeDelay(); ok {
		return c.sendHedged(ctx, choice, delay), nil
	}
	return c.sendAttempt(ctx, choice, c.account.Reserve()), nil
}

func (c *Call) pick(hedge bool) (balancer.Choice, error) {
	return c.balancer.Pick(c.router.config.Now(), balancer.PickRequest{
		Kind: c.metadata.Kind, Priority: c.metadata.Priority, Rank: c.metadata.Rank(),
		Exclude: c.excluded, PreferLowestLevel: c.preferLowestLevel, NonIdempotent: !c.metadata.Idempotent, Hedge: hedge,
	})
}

// sendAttempt makes one attempt. It does not touch the account or other state of
// the call, so that a hedge can run concurrently.
func (c *Call) sendAttempt(ctx context.Context, choice balancer.Choice, allowance call.Allowance) outcome {
	m := c.metadata
	m.Attempt = uuid.New()
	m.Allowance = allowance
	reader := c.body.NewReader()
	request := c.request
	request.Body = reader
	started := c.router.config.Now()
	response, err := c.router.config.Forwarder.Forward(ctx, choice.Instance.PeerAddress, m, &request, reader.Accept)
	o := outcome{response: response, choice: choice, bodyReader: reader, allowance: allowance, latency: c.router.config.Now().Sub(started)}
	switch {
	case err != nil:
		o.failure = resultcode.From(err)
	case response.Failure != nil:
		o.failure = response.Failure
	}
	return o
}

// retryOrMove decides whether a retry or a move follows the attempt. If so, it
// charges the account, finishes the attempt and waits for the backoff. It returns
// false when the attempt is the last.
func (c *Call) retryOrMove(ctx context.Context, o *outcome) bool {
	if ctx.Err() != nil || !c.router.config.Now().Before(c.metadata.Deadline) {
		return false
	}
	c.refund(o)
	next := c.decide(*o)
	if next.Action == retry.Stop || !c.canResend(*o) || !c.charge(next.Action) {
		return false
	}
	c.discard(*o)
	c.prepareNextAttempt(next, *o)
	sleep(ctx, next.Backoff)
	return true
}

// prepareNextAttempt sets the state that the next attempt is picked with.
func (c *Call) prepareNextAttempt(next retry.Decision, o outcome) {
	c.preferLowestLevel = next.PreferLowestLevel
	if next.Action == retry.Move {
		if o.code() != resultcode.KeyInProgress {
			c.refusal = o.failure
		}
		c.router.moves.Inc(1)
		return
	}
	c.refusal = nil
	if c.balancer.ReadyCount(c.excluded) == 0 {
		// A retry, unlike a move, may go to an instance that had an attempt before.
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

// canResend reports whether the request body can be sent again. It closes the
// attempt's body reader before the final check, so that the attempt cannot take
// the body past its buffer later.
func (c *Call) canResend(o outcome) bool {
	if c.body.Empty() {
		return true
	}
	if !c.body.Replayable() || c.body.Err() != nil {
		return false
	}
	_ = o.bodyReader.Close()
	return c.body.Replayable()
}

// discard finishes an attempt that is followed by another.
func (c *Call) discard(o outcome) {
	if o.response != nil {
		if o.failure == nil {
			_, _ = io.CopyN(io.Discard, o.response, maxDiscardBytes)
		}
		o.response.Close()
	}
	c.finishAttempt(o)
	if !c.router.config.Baseline && o.code() != resultcode.KeyInProgress {
		c.excluded = append(c.excluded, o.choice.Instance.ID)
	}
	if o.execution() != resultcode.NotRun {
		c.earlierFailure = possiblyRunFailure(o)
	}
}

// finishAttempt refunds the unspent allowance of an attempt and reports its
// outcome to the balancer.
func (c *Call) finishAttempt(o outcome) {
	c.refund(&o)
	c.balancer.Done(c.router.config.Now(), o.choice, o.feedback())
}

// refund returns the allowance that the attempt did not spend to the account,
// once. An attempt without a report counts as having spent all of it.
func (c *Call) refund(o *outcome) {
	spent, known := o.reportedSpent()
	if o.refunded || !known {
		return
	}
	o.refunded = true
	c.account.Refund(o.allowance, spent)
}

// finalResult turns the outcome of the last attempt into the result of the call.
func (c *Call) finalResult(o outcome) (outcome, *resultcode.Error) {
	if o.failure == nil {
		return o, nil
	}
	c.finishAttempt(o)
	return outcome{}, c.withEarlierFailure(c.withBodyCause(o.failure))
}

// withBodyCause replaces a failure that was caused by an error of the request
// body.
func (c *Call) withBodyCause(failure *resultcode.Error) *resultcode.Error {
	cause := c.body.Err()
	if cause == nil || failure.Execution == resultcode.Run {
		return failure
	}
	notRun := failure.Execution == resultcode.NotRun
	// Reading the body also fails when the deadline has passed.
	expired := !c.router.config.Now().Before(c.metadata.Deadline)
	switch {
	case expired && notRun:
		return resultcode.Wrap(cause, resultcode.DeadlineInsufficient, "the deadline passed before the request body was complete")
	case expired:
		return resultcode.Wrap(cause, resultcode.DeadlineExceeded, "the deadline passed before the request body was complete")
	case notRun:
		return resultcode.Wrap(cause, resultcode.From(cause).Code, "the request body ended early")
	}
	return resultcode.Wrap(cause, resultcode.RequestInterrupted, "the request body ended early")
}

// withEarlierFailure returns the earlier failure in place of a not-run failure,
// so that a call is not reported as not run when an earlier attempt may have run
// it.
func (c *Call) withEarlierFailure(failure *resultcode.Error) *resultcode.Error {
	if failure.Execution == resultcode.NotRun && c.earlierFailure != nil {
		return c.earlierFailure
	}
	return failure
}

// possiblyRunFailure returns the failure to report for an attempt that may have
// run if no later attempt runs.
func possiblyRunFailure(o outcome) *resultcode.Error {
	if o.failure != nil {
		return o.failure
	}
	return resultcode.New(resultcode.ConnectionLost, "an earlier attempt ended with status %d from the upstream", o.response.Status)
}

// Finish finishes the last attempt and returns what the call and its nested calls
// spent. It is called once the response body has ended or was abandoned.
func (c *Call) Finish() call.Allowance {
	if c.final.response != nil && !c.finished {
		c.finished = true
		c.finishAttempt(c.final)
		c.final.response.Close()
		_ = c.final.bodyReader.Close()
	}
	return c.account.Spent()
}
