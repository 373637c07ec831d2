package balancer

import (
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

const (
	// evaluateInterval is the least time between two comparisons of the instances to find
	// stragglers, unless core.eligible is rebuilt in between.
	evaluateInterval = 20 * time.Millisecond
	// stragglerFactor is the multiple of the median slowness from which an instance is
	// ejected. The slowness of an instance is its latency relative to the mean over all
	// instances; see instanceState.slowness. The mean of 20 exponential latencies varies
	// by 16 %, too little to reach that multiple by chance.
	stragglerFactor = 2.5
	// recoveredFactor is the multiple of probeReference up to which a probe of an ejected
	// instance counts as fast, and recoveredProbes the number of consecutive fast probes
	// that end the ejection.
	recoveredFactor = 2.0
	recoveredProbes = 3
	// minSamples is the number of measured latency ratios from which an instance can be
	// ejected. With fewer, it needs minOutstanding outstanding calls whose expected latency
	// is known.
	minSamples = 2
	// An ejected instance is probed when probePicks picks have considered a probe of it and
	// probeMinInterval has passed since the last probe, so that probes stay far below the
	// 1 % that would show in the p99, or else when probeMaxInterval has passed. After a
	// fast probe the next one follows after probeFollowPicks picks. countPick states the
	// exceptions.
	probePicks       = 300
	probeFollowPicks = 30
	probeMinInterval = 250 * time.Millisecond
	probeMaxInterval = 5 * time.Second
	// readmitRampUp is the ramp-up time of a readmitted instance.
	readmitRampUp = 2 * time.Second
)

// evaluateStragglers compares the instances, at most once per evaluateInterval unless
// eligible was rebuilt, and ejects stragglers up to the configured fraction of the eligible
// instances. It readmits the fastest ejected instances while more than that fraction are
// ejected.
func (c *core) evaluateStragglers(now time.Time) {
	if now.Sub(c.evaluatedAt) < evaluateInterval {
		return
	}
	c.evaluatedAt = now
	allowed := int(c.config.StragglerFraction * float64(len(c.eligible)))
	c.ejectedCount = 0
	for _, s := range c.eligible {
		if s.ejected {
			c.ejectedCount++
		}
	}
	for c.ejectedCount > allowed {
		c.readmit(now, c.fastestEjected(now))
	}
	if c.ejectedCount == allowed {
		return
	}
	median := c.medianSlowness(now)
	for c.ejectedCount < allowed {
		worst := c.slowest(now)
		if worst == nil || worst.slowness(now) < stragglerFactor*median {
			return
		}
		worst.ejected = true
		worst.probedAt = now
		worst.picksSinceProbe = 0
		worst.fastProbes = 0
		c.ejectedCount++
	}
}

// medianSlowness returns the lower median of the slowness of the eligible instances, of
// which there must be at least one.
func (c *core) medianSlowness(now time.Time) float64 {
	values := make([]float64, 0, 16)
	for _, s := range c.eligible {
		values = append(values, s.slowness(now))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// slowest returns the eligible instance with the highest slowness among those that are
// not ejected and have enough measurements, or nil.
func (c *core) slowest(now time.Time) *instanceState {
	var worst *instanceState
	for _, s := range c.eligible {
		if s.ejected || (s.samples < minSamples && s.timedCalls < minOutstanding) {
			continue
		}
		if worst == nil || s.slowness(now) > worst.slowness(now) {
			worst = s
		}
	}
	return worst
}

// fastestEjected returns the eligible ejected instance with the lowest slowness, or nil.
func (c *core) fastestEjected(now time.Time) *instanceState {
	var best *instanceState
	for _, s := range c.eligible {
		if s.ejected && (best == nil || s.slowness(now) < best.slowness(now)) {
			best = s
		}
	}
	return best
}

// readmit ends an ejection. It discards the latencies measured before, which no longer
// apply.
func (c *core) readmit(now time.Time, s *instanceState) {
	s.ejected = false
	s.ratio = 1
	s.ratioAt = now
	s.samples = 0
	s.readmittedAt = now
	c.ejectedCount--
}

// takeProbeTarget returns an ejected instance that admits the call and whose probe is
// due, or nil, and counts the call as its probe. A probe may be slow or fail, so
// critical and non-idempotent calls serve as probes only when the probe is overdue, and
// hedges and requests with exclusions never do.
func (c *core) takeProbeTarget(now time.Time, r PickRequest) *instanceState {
	if c.ejectedCount == 0 || r.Hedge || len(r.Exclude) > 0 {
		return nil
	}
	for _, s := range c.admitting {
		if s.ejected && s.countPick(now, r.Priority, r.NonIdempotent) {
			s.probedAt = now
			s.picksSinceProbe = 0
			return s
		}
	}
	return nil
}

// countPick counts a pick for which a probe of the ejected instance s is considered, and
// reports whether the picked call becomes the probe. While a probe of s is in flight, none
// does. A call that is critical or non-idempotent does only after 2*probeMaxInterval.
func (s *instanceState) countPick(now time.Time, p call.Priority, nonIdempotent bool) bool {
	s.picksSinceProbe++
	if s.probesInFlight > 0 {
		return false
	}
	elapsed := now.Sub(s.probedAt)
	if p >= call.Critical || nonIdempotent {
		return elapsed >= 2*probeMaxInterval
	}
	picks := probePicks
	if s.fastProbes > 0 {
		picks = probeFollowPicks
	}
	if s.picksSinceProbe >= picks {
		return elapsed >= probeMinInterval || s.fastProbes > 0
	}
	return elapsed >= probeMaxInterval
}

// recordProbe evaluates the latency ratio of a call at an ejected instance, whether or not
// the call was sent as a probe. It readmits the instance after recoveredProbes consecutive
// fast calls; a slow call starts the count again. It does nothing for an instance that is
// not ejected.
func (c *core) recordProbe(now time.Time, s *instanceState, ratio float64) {
	if !s.ejected {
		return
	}
	if ratio > recoveredFactor*c.probeReference(now) {
		s.fastProbes = 0
		return
	}
	s.fastProbes++
	if s.fastProbes >= recoveredProbes {
		c.readmit(now, s)
	}
}

// probeReference returns the slowness with which the latency ratio of a probe is
// compared: the median slowness, at least 1. Latencies vary from call to call, so even a
// ratio of recoveredFactor times the reference counts as fast.
func (c *core) probeReference(now time.Time) float64 {
	return max(1, c.medianSlowness(now))
}

func (c *core) ejectedIDs() []string {
	var ids []string
	for _, s := range c.eligible {
		if s.ejected {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
