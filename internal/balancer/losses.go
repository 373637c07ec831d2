package balancer

import (
	"math"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// lossWeight is the weight of one more attempt in an instance's share of lost
	// answers, a memory of about fifty.
	lossWeight = 0.02
	// lossMemory is the time constant with which the share falls while the instance
	// gets no calls, so that one that recovered is tried again.
	lossMemory = 5 * time.Second
	// onceMargin is the difference in the share that matters to a call that is not
	// repeated; one lost answer alone stays below it. A call that may be repeated
	// costs a part of the retry budget, which repeatMargin weighs against the queue
	// at the reliable instances.
	onceMargin   = 0.025
	repeatMargin = 0.1
	// reliableCost is the load in calls per slot up to which reliable instances take
	// the calls of others: a queue there would turn calls away.
	reliableCost = 0.8
	// onceWeight is the weight of one more call in the part of calls that are not
	// repeated.
	onceWeight = 0.01
)

// losses estimates the share of attempts that an instance ran without a good answer.
type losses struct {
	share float64
	at    time.Time
}

func (l *losses) observe(now time.Time, lost bool) {
	l.share = withOutcome(l.now(now), lossWeight, lost)
	l.at = now
}

// withOutcome adds one outcome to a moving share of the outcomes that are true.
func withOutcome(share, weight float64, outcome bool) float64 {
	value := 0.0
	if outcome {
		value = 1
	}
	return share + weight*(value-share)
}

func (l *losses) now(now time.Time) float64 {
	if l.share == 0 {
		return 0
	}
	return l.share * math.Exp(-now.Sub(l.at).Seconds()/lossMemory.Seconds())
}

// lostAnswer reports whether the instance may have run the attempt without a good
// answer, and false in known when the attempt says nothing about that. A failure
// whose cause lies in a service that the upstream calls says nothing.
func lostAnswer(f Feedback) (lost, known bool) {
	if isAnswer(f) {
		return false, true
	}
	if f.Execution == resultcode.NotRun || f.Code == resultcode.CallerGone || f.NestedFailure {
		return false, false
	}
	return true, true
}

// reliable returns the candidates with room that lose answers least often. It
// returns none when all have about the same share of losses or none has room.
func (c *core) reliable(now time.Time, r PickRequest, candidates []*instanceState) []*instanceState {
	// Calls that may be repeated leave room for those that are not.
	margin, room := repeatMargin, reliableCost*(1-2*c.oncePart)
	if r.NonIdempotent {
		margin, room = onceMargin, reliableCost
	}
	c.sound = c.sound[:0]
	most := 0.0
	for _, s := range candidates {
		most = max(most, s.losses.now(now))
	}
	if most < margin {
		// The usual case: hardly any answer is lost anywhere.
		return c.sound
	}
	least := 1.0
	for _, s := range candidates {
		if s.cost(now) < room {
			least = min(least, s.losses.now(now))
		}
	}
	if most < least+margin {
		return c.sound
	}
	for _, s := range candidates {
		if s.losses.now(now) < least+margin && s.cost(now) < room {
			c.sound = append(c.sound, s)
		}
	}
	return c.sound
}
