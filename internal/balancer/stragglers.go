package balancer

import (
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

const (
	// evaluateInterval is how often instances are compared to find stragglers.
	evaluateInterval = 20 * time.Millisecond
	// stragglerFactor sets an instance aside when its slowness is that many times
	// the median. The mean of 20 exponential latencies varies by 16 %, so chance
	// does not reach it.
	stragglerFactor = 2.5
	// recoveredFactor is the ratio up to which a probe counts as fast, and
	// recoveredProbes the number of fast ones in a row that end the exclusion.
	recoveredFactor = 2.0
	recoveredProbes = 3
	// minSamples is the number of latencies needed before they can exclude.
	minSamples = 2
	// A straggler is probed after probePicks calls to the service, so that probes
	// stay far below the 1 % that would show in the p99, but at least once per
	// probeMaxInterval. A fast probe is followed up after probeFollowPicks.
	probePicks       = 300
	probeFollowPicks = 30
	probeMinInterval = 250 * time.Millisecond
	probeMaxInterval = 5 * time.Second
	// returnRamp is how long an instance that recovered ramps up.
	returnRamp = 2 * time.Second
)

// evaluate sets stragglers aside, at most the configured share of the instances.
func (c *core) evaluate(now time.Time) {
	if now.Sub(c.evaluated) < evaluateInterval {
		return
	}
	c.evaluated = now
	allowed := int(c.config.StragglerFraction * float64(len(c.scope)))
	c.setAside = 0
	for _, s := range c.scope {
		if s.setAside {
			c.setAside++
		}
	}
	for c.setAside > allowed {
		c.readmit(now, c.fastestSetAside(now))
	}
	if c.setAside == allowed {
		return
	}
	median := c.medianSlowness(now)
	for c.setAside < allowed {
		worst := c.slowest(now)
		if worst == nil || worst.slowness(now) < stragglerFactor*median {
			return
		}
		worst.setAside = true
		worst.probedAt = now
		worst.picksSinceProbe = 0
		worst.goodProbes = 0
		c.setAside++
	}
}

func (c *core) medianSlowness(now time.Time) float64 {
	values := make([]float64, 0, 16)
	for _, s := range c.scope {
		values = append(values, s.slowness(now))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// slowest returns the slowest instance with enough measurements that is not set
// aside yet.
func (c *core) slowest(now time.Time) *instanceState {
	var worst *instanceState
	for _, s := range c.scope {
		if s.setAside || (s.samples < minSamples && s.aged < minRunning) {
			continue
		}
		if worst == nil || s.slowness(now) > worst.slowness(now) {
			worst = s
		}
	}
	return worst
}

func (c *core) fastestSetAside(now time.Time) *instanceState {
	var best *instanceState
	for _, s := range c.scope {
		if s.setAside && (best == nil || s.slowness(now) < best.slowness(now)) {
			best = s
		}
	}
	return best
}

// readmit ends the exclusion. The readings from before it no longer apply.
func (c *core) readmit(now time.Time, s *instanceState) {
	s.setAside = false
	s.ratio = 1
	s.ratioAt = now
	s.samples = 0
	s.returned = now
	c.setAside--
}

// probeTarget returns a straggler that admits the call and whose probe is due.
// A probe may be slow or fail, so critical calls and those that are not repeated
// serve as one only when the probe is overdue.
func (c *core) probeTarget(now time.Time, r PickRequest) *instanceState {
	if c.setAside == 0 || r.Hedge || len(r.Exclude) > 0 {
		return nil
	}
	for _, s := range c.admitting {
		if s.setAside && s.probeDue(now, r.Priority, r.NonIdempotent) {
			s.probedAt = now
			s.picksSinceProbe = 0
			return s
		}
	}
	return nil
}

func (s *instanceState) probeDue(now time.Time, p call.Priority, once bool) bool {
	s.picksSinceProbe++
	if s.probing > 0 {
		return false
	}
	elapsed := now.Sub(s.probedAt)
	if p >= call.Critical || once {
		return elapsed >= 2*probeMaxInterval
	}
	picks := probePicks
	if s.goodProbes > 0 {
		picks = probeFollowPicks
	}
	if s.picksSinceProbe >= picks {
		return elapsed >= probeMinInterval || s.goodProbes > 0
	}
	return elapsed >= probeMaxInterval
}

// probed notes how fast an instance that is set aside was.
func (c *core) probed(now time.Time, s *instanceState, ratio float64) {
	if !s.setAside {
		return
	}
	if ratio > recoveredFactor*c.fasterMedian(now) {
		s.goodProbes = 0
		return
	}
	s.goodProbes++
	if s.goodProbes >= recoveredProbes {
		c.readmit(now, s)
	}
}

// fasterMedian is the median slowness, at least 1: latencies vary from call to
// call, so a single one is compared generously.
func (c *core) fasterMedian(now time.Time) float64 {
	return max(1, c.medianSlowness(now))
}

func (c *core) setAsideIDs() []string {
	var ids []string
	for _, s := range c.scope {
		if s.setAside {
			ids = append(ids, s.ID)
		}
	}
	return ids
}
