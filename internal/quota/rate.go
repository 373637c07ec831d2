package quota

import (
	"math"
	"time"
)

// minAverageTime is the shortest time over which an average is taken.
const minAverageTime = 500 * time.Millisecond

// rate is an exponentially weighted moving average of events per second.
type rate struct {
	sum            float64
	began, updated time.Time
}

// add counts events.
func (r *rate) add(now time.Time, events float64, timeConstant time.Duration) {
	r.decay(now, timeConstant)
	r.sum += events
	if r.began.IsZero() {
		r.began = now
	}
}

// perSecond returns the average.
func (r *rate) perSecond(now time.Time, timeConstant time.Duration) float64 {
	r.decay(now, timeConstant)
	return r.sum / timeConstant.Seconds()
}

// sinceBegin returns the average over the time since the first event, if that is shorter than the
// time constant.
func (r *rate) sinceBegin(now time.Time, timeConstant time.Duration) float64 {
	age := max(minAverageTime, now.Sub(r.began))
	return r.perSecond(now, timeConstant) / (1 - math.Exp(-age.Seconds()/timeConstant.Seconds()))
}

func (r *rate) decay(now time.Time, timeConstant time.Duration) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.sum *= math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
		r.updated = now
	}
}
