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
	lossMemory = 10 * time.Second
	// lossMargin is the difference in the share that matters. One lost answer alone
	// stays below it.
	lossMargin = 0.025
	// reliableCost is the load in calls per slot up to which reliable instances take
	// the calls of others: a queue there would turn calls away.
	reliableCost = 0.8
)

// losses estimates the share of attempts that an instance ran without a good answer.
type losses struct {
	share float64
	at    time.Time
}

func (l *losses) observe(now time.Time, lost bool) {
	value := 0.0
	if lost {
		value = 1
	}
	l.share = l.now(now)
	l.share += lossWeight * (value - l.share)
	l.at = now
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
	if f.Execution == resultcode.NotRun || f.Code == resultcode.CallerGone || f.FailedBelow {
		return false, false
	}
	return true, true
}

// reliableFor returns the candidates that a request is limited to, if any. A call
// that may be repeated is not limited.
func (c *core) reliableFor(now time.Time, r PickRequest, candidates []*instanceState) []*instanceState {
	if !r.Once {
		return nil
	}
	return c.reliable(now, candidates)
}

// reliable returns the candidates with room that lose answers least often, for a
// call that is not repeated when its answer is lost. It returns none when all have
// the same share of losses or none has room.
func (c *core) reliable(now time.Time, candidates []*instanceState) []*instanceState {
	least, most := 1.0, 0.0
	for _, s := range candidates {
		share := s.losses.now(now)
		most = max(most, share)
		if s.cost(now) < reliableCost {
			least = min(least, share)
		}
	}
	if most < least+lossMargin {
		return nil
	}
	c.sound = c.sound[:0]
	for _, s := range candidates {
		if s.losses.now(now) < least+lossMargin && s.cost(now) < reliableCost {
			c.sound = append(c.sound, s)
		}
	}
	return c.sound
}
