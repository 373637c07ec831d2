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

// keyReleaseDelay is the wait before a move when the owner of the idempotency key, the
// node that grants the permission to run a call with the key, still holds the key for the
// previous attempt of the call, which was not run. The delay covers a few round trips
// between failure domains, in which the report that the attempt was not run reaches the
// owner.
const keyReleaseDelay = 5 * time.Millisecond

// maxDiscardBytes is the largest number of bytes that are read of the body of a
// response that is not relayed. The body is read to receive the trailer after it,
// which reports what the attempt's nested calls spent.
const maxDiscardBytes = 64 << 10

// Call is one call that this node sends. It is not safe for concurrent use.
type Call struct {
	router   *Router
	balancer *balancer.Balancer
	metadata call.Metadata
	// request is the request of every attempt, without its body.
	request peer.Request
	body    *Body
	// mayHedge is set when the settings and the properties of the call allow a hedge.
	mayHedge bool

	// account holds what the call may still spend on retries, moves, hedges and nested
	// calls.
	account *retry.Account
	// excluded lists the IDs of the instances that the next pick must leave out because
	// they already had an attempt.
	excluded []string
	// preferLowestLevel is passed to the next pick; see retry.Decision.
	preferLowestLevel bool
	// attemptCount counts attempts other than hedges. baselineRetries counts the
	// retries and moves when Config.Baseline is set.
	attemptCount, baselineRetries int
	// notRunFailure is the failure of the attempt that led to the last move and was not
	// run. It is nil before the first move and after a retry. A move after KeyInProgress
	// leaves it unchanged.
	notRunFailure *resultcode.Error
	// earlierFailure is the failure of the last earlier attempt that may have run the
	// call, nil when there is none.
	earlierFailure *resultcode.Error
	// finalOutcome is the outcome whose response Start returned. Its response is nil when
	// Start returned an error.
	finalOutcome outcome
	// finished is set once Finish has finished the attempt of finalOutcome.
	finished bool
}

// Start sends a call, with retries, moves and hedges, until it has a response to return
// or fails. The request body comes from body; request.Body is not used. hedgeEnabled is
// the hedge setting of the call's kind. Start always returns a Call. Its Finish must be
// called, after an error immediately, and otherwise once the response has been read to
// its end or abandoned. The error is a *resultcode.Error.
func (r *Router) Start(ctx context.Context, m call.Metadata, request peer.Request, body *Body, hedgeEnabled bool) (*Call, *peer.Response, error) {
	c := &Call{
		router:   r,
		metadata: m,
		request:  request,
		body:     body,
		mayHedge: hedgeEnabled && m.Idempotent && body.Empty() && !r.config.Baseline,
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
	c.finalOutcome = o
	return c, o.response, nil
}

// sendAttempts sends attempts until no retry or move follows the last one. It returns
// the outcome of that attempt or the failure of the call.
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
// allowed. It fails only when no attempt could be sent.
func (c *Call) nextAttempt(ctx context.Context) (outcome, error) {
	choice, err := c.pick(false)
	if err != nil && c.notRunFailure != nil {
		// No other instance can be picked, so the move is not made and the failure
		// that led to the move is the result.
		return outcome{}, c.notRunFailure
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

// pick picks the instance for an attempt, or for a hedge when forHedge is set.
func (c *Call) pick(forHedge bool) (balancer.Choice, error) {
	return c.balancer.Pick(c.router.config.Now(), balancer.PickRequest{
		Kind: c.metadata.Kind, Priority: c.metadata.Priority, Rank: c.metadata.Rank(),
		Exclude: c.excluded, PreferLowestLevel: c.preferLowestLevel, NonIdempotent: !c.metadata.Idempotent, Hedge: forHedge,
	})
}

// sendAttempt makes one attempt, with the given allowance for its nested calls. It does
// not use the account and changes no state of the call, so that an attempt and its hedge
// can call it concurrently.
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
// charges the account, discards the attempt and waits for the backoff. It returns
// false when the attempt is the last. Before it decides, it refunds what the attempt is
// known not to have spent.
func (c *Call) retryOrMove(ctx context.Context, o *outcome) bool {
	if ctx.Err() != nil || !c.router.config.Now().Before(c.metadata.Deadline) {
		return false
	}
	c.refund(o)
	next := c.decide(*o)
	if next.Action == retry.Stop || !c.prepareResend(*o) || !c.charge(next.Action) {
		return false
	}
	c.discard(*o)
	c.prepareNextAttempt(next, *o)
	sleep(ctx, next.Backoff)
	return true
}

// prepareNextAttempt sets the state with which the instance of the next attempt is
// picked, and counts the retry or the move.
func (c *Call) prepareNextAttempt(next retry.Decision, o outcome) {
	c.preferLowestLevel = next.PreferLowestLevel
	if next.Action == retry.Move {
		if o.code() != resultcode.KeyInProgress {
			c.notRunFailure = o.failure
		}
		c.router.moves.Inc(1)
		return
	}
	c.notRunFailure = nil
	if c.balancer.ReadyCount(c.excluded) == 0 {
		// A retry, unlike a move, may go to an instance that had an attempt before.
		c.excluded = c.excluded[:0]
	}
	c.router.retries.Inc(1)
}

// sleep waits for d or until ctx is done.
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

// prepareResend reports whether another attempt can send the request body. Before the
// last check it closes the body reader of the previous attempt o, so that o cannot read
// past the buffer later, which would make the body impossible to send again.
func (c *Call) prepareResend(o outcome) bool {
	if c.body.Empty() {
		return true
	}
	if !c.body.Replayable() || c.body.Err() != nil {
		return false
	}
	_ = o.bodyReader.Close()
	return c.body.Replayable()
}

// discard finishes an attempt that failed and whose response is not relayed, because a
// new attempt follows or the other attempt of a hedged call is used. Later picks leave
// out its instance, except with Config.Baseline and when the attempt met a key that was
// still held. The failure is kept if the attempt may have run.
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
// outcome to the balancer. It must be called once for each attempt, except one that
// hedgedCall.cancelOther cancels.
func (c *Call) finishAttempt(o outcome) {
	c.refund(&o)
	c.balancer.Done(c.router.config.Now(), o.choice, o.feedback())
}

// refund returns the allowance that the attempt did not spend to the account. It has no
// effect when that was done before or the spent allowance is not known; an attempt that
// never reports it counts as having spent its whole share.
func (c *Call) refund(o *outcome) {
	spent, known := o.reportedSpent()
	if o.refunded || !known {
		return
	}
	o.refunded = true
	c.account.Refund(o.allowance, spent)
}

// finalResult turns the outcome of the last attempt into the result of the call: the
// outcome, whose attempt Finish will finish, or a failure, whose attempt it finishes.
func (c *Call) finalResult(o outcome) (outcome, *resultcode.Error) {
	if o.failure == nil {
		return o, nil
	}
	c.finishAttempt(o)
	return outcome{}, c.withEarlierFailure(c.withBodyCause(o.failure))
}

// withBodyCause returns the failure to report for a failed attempt. When reading the
// request body failed, that is taken for the cause, unless the call was run: the failure
// is then the passed deadline, or otherwise the error of the body for a call that was not
// run and RequestInterrupted for one that may have run.
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

// withEarlierFailure returns the failure to report for the call: earlierFailure in place
// of a not-run failure, so that a call is not reported as not run when an earlier attempt
// may have run it, and otherwise failure itself.
func (c *Call) withEarlierFailure(failure *resultcode.Error) *resultcode.Error {
	if failure.Execution == resultcode.NotRun && c.earlierFailure != nil {
		return c.earlierFailure
	}
	return failure
}

// possiblyRunFailure returns the failure to report for an attempt that may have run, if
// no later attempt runs. That is its own failure, or ConnectionLost when the upstream
// responded with an error status.
func possiblyRunFailure(o outcome) *resultcode.Error {
	if o.failure != nil {
		return o.failure
	}
	return resultcode.New(resultcode.ConnectionLost, "an earlier attempt ended with status %d from the upstream", o.response.Status)
}

// Finish finishes the last attempt, if Start returned its response, and returns what the
// call and its nested calls spent. It is called once the response body has ended or was
// abandoned. Further calls only return the spent allowance.
func (c *Call) Finish() call.Allowance {
	if c.finalOutcome.response != nil && !c.finished {
		c.finished = true
		c.finishAttempt(c.finalOutcome)
		c.finalOutcome.response.Close()
		_ = c.finalOutcome.bodyReader.Close()
	}
	return c.account.Spent()
}
