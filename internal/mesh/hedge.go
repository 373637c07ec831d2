package mesh

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// hedgePart is the part of the route's objective after which an idempotent
	// call is sent to a second instance: what is left suffices for a usual run.
	hedgePart = 0.4
	// unknownPart takes the place of hedgePart while the usual latency is unknown.
	unknownPart = 0.6
	// hedgeQuantile keeps hedges to the calls that take longer than nearly all
	// others of their kind: when all are slow, a second run only adds load.
	hedgeQuantile = 0.95
	// hedgeStanding lets hedges take from the repeat allowance only while it is
	// nearly full, since repeats after failures are worth more.
	hedgeStanding = 0.0
)

// hedgeDelay returns when a second instance may be tried beside the first, and
// false for a call that must not run twice or has no objective.
func (o *outgoing) hedgeDelay(b *balancer.Balancer) (time.Duration, bool) {
	if !o.route.Idempotent || o.route.MaxAttempts < 2 || o.route.Objective <= 0 || o.reached > 0 || o.repeat {
		return 0, false
	}
	objective := float64(o.route.Objective)
	delay := time.Duration(unknownPart * objective)
	if usual, known := b.LatencyQuantile(time.Now(), o.route.Name, hedgeQuantile); known {
		delay = max(time.Duration(hedgePart*objective), usual)
	}
	return delay, time.Until(o.deadline) > delay+minRepeatTime
}

// contender is one of two tries that run side by side.
type contender struct {
	cancel context.CancelFunc
}

// outcome is the end of a contender.
type outcome struct {
	contender int
	attempt   attempt
}

// sendHedged makes a try and, when it takes long, a second one at another
// instance. The first success wins and the other try is cancelled.
func (o *outgoing) sendHedged(ctx context.Context, b *balancer.Balancer, first balancer.Choice, delay time.Duration) attempt {
	results := make(chan outcome, 2)
	contenders := []contender{o.contend(ctx, b, first, 0, results)}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		contenders[0].cancel()
		o.note(r.attempt)
		return r.attempt
	case <-timer.C:
	}
	if second, ok := o.pickHedge(b); ok {
		o.caller.hedges.Inc(1)
		contenders = append(contenders, o.contend(ctx, b, second, 1, results))
	}
	var last attempt
	for range contenders {
		r := <-results
		o.note(r.attempt)
		contenders[r.contender].cancel()
		last = r.attempt
		if r.attempt.succeeded() {
			break
		}
	}
	for _, c := range contenders {
		c.cancel()
	}
	return last
}

// contend makes a try in the background.
func (o *outgoing) contend(ctx context.Context, b *balancer.Balancer, choice balancer.Choice, number int, results chan<- outcome) contender {
	ctx, cancel := context.WithCancel(ctx)
	p := o.hop()
	p.Repeat = p.Repeat || number > 0
	go func() {
		a := o.try(ctx, choice, p)
		b.Done(time.Now(), choice, a.feedback())
		results <- outcome{contender: number, attempt: a}
	}()
	return contender{cancel: cancel}
}

// pickHedge chooses the second instance. While the service has no room, a second
// run would only add to its load.
func (o *outgoing) pickHedge(b *balancer.Balancer) (balancer.Choice, bool) {
	now := time.Now()
	if b.Busy(now) || !o.caller.config.Budget.Take(now, o.service, hedgeStanding) {
		return balancer.Choice{}, false
	}
	choice, _, failure := o.pick()
	if failure != nil {
		return balancer.Choice{}, false
	}
	return choice, true
}

// succeeded reports whether the upstream ran the call and did not fail it.
func (a attempt) succeeded() bool {
	return a.verdict.Code == resultcode.OK && a.response.Status < 500
}
