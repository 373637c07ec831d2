package balancer

import (
	"math"
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/invariant"
)

const (
	// levelExpiry discards a reported level, so that calls are tried again and no
	// refusal outlives its cause.
	levelExpiry = time.Second
	// loadMemory is the time constant of a reported load. Reports are late for
	// stragglers, so they count less with age.
	loadMemory = 100 * time.Millisecond
	// slownessMargin is the latency ratio from which an instance costs more. Below
	// it the ratio follows the queues, which count as load already; counting them
	// twice, and late, made the nodes fill one instance while others had room.
	slownessMargin = 1.5
	// ratioMemory is the time constant with which a latency reading without
	// successors returns to the neutral ratio 1.
	ratioMemory = 10 * time.Second
	// ratioWindow and ratioWeight set the weight of one more latency: at least
	// ratioWeight, more when the last one is older than ratioWindow.
	ratioWindow    = time.Second
	ratioWeight    = 0.05
	maxRatioWeight = 0.5
	// maxRatio caps one sample, so that one slow call does not make a straggler.
	maxRatio = 20.0
	// minRunning is how many calls must be outstanding before their age counts.
	minRunning = 3
	// minRamp is the part of the usual share that a cold instance gets at first.
	minRamp = 0.1
)

// instanceState is what this node measured about one instance.
type instanceState struct {
	Instance
	outstanding int
	// rateSum and ageSum give the mean age of outstanding calls relative to their
	// kind's latency: the sums of 1/expected and of start/expected.
	rateSum, ageSum float64
	aged            int
	base            time.Time

	// othersLoad is what other nodes had at the instance when it last reported.
	othersLoad float64
	loadAt     time.Time
	level      admission.Level
	levelAt    time.Time

	// ratio is the latency relative to the kind's latency over all instances.
	ratio   float64
	ratioAt time.Time
	samples int

	losses losses

	setAside bool
	// probedAt and picksSinceProbe pace the probes of an instance set aside;
	// goodProbes counts those in a row that were fast.
	probedAt        time.Time
	picksSinceProbe int
	probing         int
	goodProbes      int
	// returned is when the instance came back from being set aside.
	returned time.Time
}

func newInstanceState(now time.Time, i Instance) *instanceState {
	return &instanceState{Instance: i, ratio: 1, ratioAt: now}
}

// started counts a call that goes to the instance.
func (s *instanceState) started(now time.Time, expected float64) {
	if s.outstanding == 0 {
		s.base = now
		s.rateSum, s.ageSum, s.aged = 0, 0, 0
	}
	s.outstanding++
	if expected > 0 {
		s.aged++
		s.rateSum += 1 / expected
		s.ageSum += now.Sub(s.base).Seconds() / expected
	}
}

func (s *instanceState) stopped(c Choice) {
	if !invariant.Check(s.outstanding > 0, "balancer done once per pick", "instance %s", s.ID) {
		return
	}
	s.outstanding--
	if c.expected > 0 {
		s.aged--
		s.rateSum -= 1 / c.expected
		s.ageSum -= c.Started.Sub(s.base).Seconds() / c.expected
	}
}

// runningRatio is the mean age of the outstanding calls relative to their kind's
// latency. It shows a straggler before its first late response.
func (s *instanceState) runningRatio(now time.Time) float64 {
	if s.aged < minRunning {
		return 0
	}
	return (now.Sub(s.base).Seconds()*s.rateSum - s.ageSum) / float64(s.aged)
}

// measured adds a latency ratio.
func (s *instanceState) measured(now time.Time, ratio float64) {
	ratio = min(ratio, maxRatio)
	old := s.agedRatio(now)
	weight := 1 - math.Exp(-now.Sub(s.ratioAt).Seconds()/ratioWindow.Seconds())
	weight = min(max(weight, ratioWeight), maxRatioWeight)
	s.ratio = old + weight*(ratio-old)
	s.ratioAt = now
	s.samples++
}

func (s *instanceState) agedRatio(now time.Time) float64 {
	elapsed := now.Sub(s.ratioAt)
	if elapsed < 50*time.Millisecond {
		return s.ratio
	}
	return 1 + (s.ratio-1)*math.Exp(-elapsed.Seconds()/ratioMemory.Seconds())
}

// slowness compares instances: 1 is as fast as all together.
func (s *instanceState) slowness(now time.Time) float64 {
	return max(s.agedRatio(now), s.runningRatio(now))
}

func (s *instanceState) reported(now time.Time, l admission.Load) {
	s.othersLoad = max(0, float64(l.Running+l.Queued-s.outstanding))
	s.loadAt = now
	s.level = l.Level
	s.levelAt = now
}

// knownLevel returns the zero level when none was reported within levelExpiry.
func (s *instanceState) knownLevel(now time.Time) admission.Level {
	if now.Sub(s.levelAt) >= levelExpiry {
		return admission.Level{}
	}
	return s.level
}

// load is the number of calls at the instance, as far as this node knows.
func (s *instanceState) load(now time.Time) float64 {
	load := float64(s.outstanding)
	if s.othersLoad > 0 {
		load += s.othersLoad * math.Exp(-now.Sub(s.loadAt).Seconds()/loadMemory.Seconds())
	}
	return load
}

// cost estimates the delay of one more call, in units of the kind's latency per
// slot.
func (s *instanceState) cost(now time.Time) float64 {
	return (s.load(now) + 1) / float64(max(1, s.Slots)) * max(1, s.slowness(now)/slownessMargin)
}

// queueing reports whether calls wait at the instance, by what is known here.
func (s *instanceState) queueing(now time.Time) bool {
	return s.load(now) >= float64(max(1, s.Slots))
}

// ramp returns the part of its usual share that the instance gets, from minRamp
// to 1, after it became ready and after it came back from being set aside.
func (s *instanceState) ramp(now time.Time, rampUp time.Duration) float64 {
	share := rampShare(now.Sub(s.ReadySince), rampUp)
	if !s.returned.IsZero() {
		share = min(share, rampShare(now.Sub(s.returned), returnRamp))
	}
	return share
}

func rampShare(since, period time.Duration) float64 {
	if period <= 0 || since >= period {
		return 1
	}
	return max(minRamp, float64(since)/float64(period))
}
