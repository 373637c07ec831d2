package balancer

import (
	"math"
	"time"
)

const (
	// speedTimeConstant is the time constant with which earlier calls count less. It covers some
	// calls of one node to one instance in a large fleet.
	speedTimeConstant = 15 * time.Second
	// speedPrior is the number of calls of prior latency that an estimate begins with, so that few
	// calls do not decide.
	speedPrior = 3.0
	// maxLogRatio bounds the logarithmic latency ratio of a call.
	maxLogRatio = 2.0
)

// instanceSpeed estimates the latency of an instance relative to all instances, by kind: the part of
// it that is spent in nested calls, and does not depend on the instance, differs by kind.
type instanceSpeed struct {
	all    speedEstimate
	byKind map[string]*speedEstimate
}

// observe adds a successful call of a kind with the given mean logarithm of the latency.
func (s *instanceSpeed) observe(now time.Time, kind string, latency time.Duration, logMean float64) {
	if latency <= 0 {
		return
	}
	ratio := min(maxLogRatio, max(-maxLogRatio, math.Log(latency.Seconds())-logMean))
	s.all.observe(now, ratio)
	e := s.byKind[kind]
	if e == nil {
		if s.byKind == nil || len(s.byKind) >= maxKinds {
			s.byKind = make(map[string]*speedEstimate)
		}
		e = &speedEstimate{}
		s.byKind[kind] = e
	}
	e.observe(now, ratio)
}

// relativeLatency returns the estimate for a kind, 1 for the mean of all instances. The estimate over
// all kinds is its prior.
func (s *instanceSpeed) relativeLatency(now time.Time, kind string) float64 {
	logRatio := s.all.logRatio(now, 0)
	if e := s.byKind[kind]; e != nil {
		logRatio = e.logRatio(now, logRatio)
	}
	return math.Exp(logRatio)
}

// speedEstimate is a decaying mean of logarithmic latency ratios, which follows the usual call and not
// the longest ones.
type speedEstimate struct {
	// calls and sum are the decaying number of calls and the sum of their ratios, as of at.
	calls, sum float64
	at         time.Time
}

func (e *speedEstimate) observe(now time.Time, ratio float64) {
	factor := e.decayFactor(now)
	e.calls = e.calls*factor + 1
	e.sum = e.sum*factor + ratio
	e.at = now
}

// logRatio returns the mean, drawn toward a prior.
func (e *speedEstimate) logRatio(now time.Time, prior float64) float64 {
	factor := e.decayFactor(now)
	return (e.sum*factor + speedPrior*prior) / (e.calls*factor + speedPrior)
}

func (e *speedEstimate) decayFactor(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(e.at).Seconds()) / speedTimeConstant.Seconds())
}
