package mesh

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/supervise"
)

const (
	// hedgeFraction is the fraction of the route's latency objective after which an
	// idempotent call may be hedged: the remaining time suffices for a typical
	// execution.
	hedgeFraction = 0.4
	// unknownLatencyFraction replaces hedgeFraction while the latency of the
	// kind is unknown.
	unknownLatencyFraction = 0.6
	// hedgeQuantile limits hedges to calls that take longer than nearly all
	// others of their kind: when all are slow, a second execution only adds
	// load.
	hedgeQuantile = 0.95
)

// hedgeDelay returns the delay after which a hedge may be sent, and false when the
// call must not be hedged: it is non-idempotent, its route has no objective or allows
// one attempt only, the call counts as a retry or has reached an upstream before, or
// too little time is left.
func (o *outboundCall) hedgeDelay(b *balancer.Balancer) (time.Duration, bool) {
	if !o.route.Idempotent || o.route.MaxAttempts < 2 || o.route.Objective <= 0 || o.reached > 0 || o.retry {
		return 0, false
	}
	objective := float64(o.route.Objective)
	delay := time.Duration(unknownLatencyFraction * objective)
	if usual, known := b.LatencyQuantile(time.Now(), o.route.Name, hedgeQuantile); known {
		delay = max(time.Duration(hedgeFraction*objective), usual)
	}
	return delay, time.Until(o.deadline) > delay+minAttemptTime
}

// hedge is a second attempt at a call that may run beside the first one.
type hedge struct {
	// decided is closed once it is decided whether there is a hedge, result receives its result
	// if there is one. The goroutine of the hedge does not touch the outboundCall after closing
	// decided.
	decided chan struct{}
	started bool
	result  chan attempt
}

// sendHedged makes an attempt and, when it takes longer than delay, a hedge at another
// instance. When one of the two succeeds, it cancels the other and returns the success;
// when both fail, it returns the later failure. Without a hedge it returns the attempt.
func (o *outboundCall) sendHedged(ctx context.Context, b *balancer.Balancer, choice balancer.Choice, delay time.Duration) attempt {
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	defer cancelHedge()
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	p := o.hop()
	h := &hedge{decided: make(chan struct{}), result: make(chan attempt, 1)}
	timer := time.AfterFunc(delay, func() { o.runHedge(hedgeCtx, b, h, cancelFirst) })
	first := o.attempt(firstCtx, b, choice, p)
	if timer.Stop() {
		o.record(first)
		return first
	}
	<-h.decided
	if !h.started {
		o.record(first)
		return first
	}
	select {
	case second := <-h.result:
		o.record(second)
		if second.succeeded() {
			return second
		}
		o.record(first)
		return first
	default:
	}
	o.record(first)
	if first.succeeded() {
		return first
	}
	second := <-h.result
	o.record(second)
	return second
}

// runHedge makes a hedge if one is worthwhile, and ends the first attempt if the hedge succeeds.
func (o *outboundCall) runHedge(ctx context.Context, b *balancer.Balancer, h *hedge, cancelFirst context.CancelFunc) {
	var choice balancer.Choice
	var p hop
	supervise.Once(o.outbound.config.Log, "hedge "+o.info.ID, func() {
		choice, h.started = o.selectHedge(b)
		p = o.hop()
		p.Retry = true
	})
	close(h.decided)
	if !h.started {
		return
	}
	o.outbound.hedges.Inc(1)
	second := o.attempt(ctx, b, choice, p)
	h.result <- second
	if second.succeeded() {
		cancelFirst()
	}
}

// attempt makes an attempt and gives its feedback to the balancer.
func (o *outboundCall) attempt(ctx context.Context, b *balancer.Balancer, choice balancer.Choice, p hop) attempt {
	a := attempt{choice: choice, outcome: outcome{Code: resultcode.Internal, Execution: resultcode.Unknown, Reached: true, Detail: "unexpected error in an attempt"}}
	supervise.Once(o.outbound.config.Log, "attempt "+o.info.ID, func() { a = o.sendTo(ctx, choice, p) })
	b.Done(time.Now(), choice, a.feedback())
	return a
}

// selectHedge charges a hedge to the retry budget and chooses its instance. It returns
// false when, as far as this node knows, any eligible instance of the service sheds calls
// or has no free slot, because a second execution would only add to the load; when the
// budget denies the hedge; when the caller's credential was withdrawn; and when no instance can be
// chosen. In the last case the budget is charged all the same.
func (o *outboundCall) selectHedge(b *balancer.Balancer) (balancer.Choice, bool) {
	now := time.Now()
	claim := o.claim()
	claim.Hedge = true
	if b.Busy(now) || !o.credentialHeld() || !o.outbound.config.Budget.Take(now, o.service, claim) {
		return balancer.Choice{}, false
	}
	choice, _, failure := o.selectInstance()
	if failure != nil {
		return balancer.Choice{}, false
	}
	return choice, true
}

// succeeded reports whether the upstream ran the call and did not fail it.
func (a attempt) succeeded() bool {
	return a.outcome.Code == resultcode.OK && a.response.Status < 500
}
