package balancer

import (
	"math"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// lossWeight is the weight of a new attempt in an instance's fraction of lost
	// responses, which thus covers about the last 50 attempts.
	lossWeight = 0.02
	// lossTimeConstant is the time constant with which the fraction decays between
	// outcomes, so that a recovered instance that gets no calls is used again.
	lossTimeConstant = 5 * time.Second
	// nonIdempotentMargin is the difference between two instances' fractions of lost
	// responses from which a non-idempotent call avoids the one that loses more; a single
	// lost response stays below it. idempotentMargin is the same for idempotent calls: a
	// lost response costs them a retry from the retry budget, which idempotentMargin
	// weighs against the queue at the reliable instances.
	nonIdempotentMargin = 0.025
	idempotentMargin    = 0.1
	// reliableCostLimit is the cost, in calls per slot, below which an instance that loses
	// fewer responses is preferred to the others: a queue there would lead to refusals. For
	// idempotent calls the limit is lower; see mostReliable.
	reliableCostLimit = 0.8
	// nonIdempotentWeight is the weight of a new pick in core.nonIdempotentFraction.
	nonIdempotentWeight = 0.01
)

// lossEstimate is the decaying fraction of an instance's attempts that it may have run
// without returning a successful response.
type lossEstimate struct {
	// fraction is from 0 to 1, as of at, the time of the last outcome.
	fraction float64
	at       time.Time
}

func (l *lossEstimate) observe(now time.Time, lost bool) {
	l.fraction = movingFraction(l.current(now), lossWeight, lost)
	l.at = now
}

// movingFraction adds an outcome to an exponential moving average of the fraction of
// outcomes that are true.
func movingFraction(fraction, weight float64, outcome bool) float64 {
	value := 0.0
	if outcome {
		value = 1
	}
	return fraction + weight*(value-fraction)
}

// current returns the fraction, decayed since the last outcome.
func (l *lossEstimate) current(now time.Time) float64 {
	if l.fraction == 0 {
		return 0
	}
	return l.fraction * math.Exp(-now.Sub(l.at).Seconds()/lossTimeConstant.Seconds())
}

// lostResponse reports whether the instance may have run the attempt without returning
// a successful response. known is false when the outcome says nothing about that: the
// call was not run, its caller disconnected, or a nested call caused the failure.
func lostResponse(f Feedback) (lost, known bool) {
	if isSuccess(f) {
		return false, true
	}
	if f.Execution == resultcode.NotRun || f.Code == resultcode.CallerGone || f.NestedFailure {
		return false, false
	}
	return true, true
}

// mostReliable returns the candidates that lose responses least often among those whose
// cost is below the limit for the call. It returns none when all candidates have about
// the same fraction of losses or none has such a cost.
func (c *core) mostReliable(now time.Time, r PickRequest, candidates []*instanceState) []*instanceState {
	// Idempotent calls leave capacity for non-idempotent ones.
	margin, costLimit := idempotentMargin, reliableCostLimit*(1-2*c.nonIdempotentFraction)
	if r.NonIdempotent {
		margin, costLimit = nonIdempotentMargin, reliableCostLimit
	}
	c.reliable = c.reliable[:0]
	most := 0.0
	for _, s := range candidates {
		most = max(most, s.losses.current(now))
	}
	if most < margin {
		// The usual case: no instance loses more than a few responses.
		return c.reliable
	}
	least := 1.0
	for _, s := range candidates {
		if s.cost(now) < costLimit {
			least = min(least, s.losses.current(now))
		}
	}
	if most < least+margin {
		return c.reliable
	}
	for _, s := range candidates {
		if s.losses.current(now) < least+margin && s.cost(now) < costLimit {
			c.reliable = append(c.reliable, s)
		}
	}
	return c.reliable
}
