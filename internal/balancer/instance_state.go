package balancer

import (
	"math"
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/invariant"
)

const (
	// levelExpiry is the age at which a reported level is discarded, so that calls are
	// sent again and no refusal outlives its cause.
	levelExpiry = time.Second
	// loadTimeConstant is the time constant with which a reported load decays. Reports
	// from stragglers arrive late, so a report counts less with age.
	loadTimeConstant = 100 * time.Millisecond
	// slownessMargin is the slowness above which an instance's slowness raises its cost.
	// Below it the slowness follows the queues, which the load counts already.
	// Counting them twice, and late, made the nodes fill one instance while others had
	// free slots.
	slownessMargin = 1.5
	// usableSlotsExpiry is the age at which the reported usable slots are discarded. It exceeds the pause between two calls of one node to one instance in a
	// large fleet.
	usableSlotsExpiry = 5 * time.Second
	// ratioTimeConstant is the time constant with which the latency ratio returns to
	// the neutral value 1 while no new samples arrive.
	ratioTimeConstant = 10 * time.Second
	// The weight of a new sample in the latency ratio is between minRatioWeight and
	// maxRatioWeight and grows with the time since the last sample, with the time
	// constant ratioWindow.
	ratioWindow    = time.Second
	minRatioWeight = 0.05
	maxRatioWeight = 0.5
	// maxRatio is the largest latency ratio that a sample counts as, so that one slow
	// call does not make an instance a straggler.
	maxRatio = 20.0
	// minOutstanding is the number of outstanding calls with a known expected latency
	// from which their mean age counts as a latency ratio.
	minOutstanding = 3
	// minRampFraction is the fraction of its usual share of calls that a cold instance
	// gets at first.
	minRampFraction = 0.1
)

// instanceState holds this node's measurements of one instance.
type instanceState struct {
	Instance
	// outstanding is the number of attempts that this node has sent to the instance and
	// that have not ended.
	outstanding int
	// rateSum and startSum are the sums of 1/expected and of start/expected over the
	// timedCalls outstanding calls whose expected latency is known, with the starts
	// relative to startBase. They give the mean age of these calls relative to their kind's
	// latency; see outstandingRatio.
	rateSum, startSum float64
	timedCalls        int
	startBase         time.Time

	// peerLoad is the number of in-flight calls from peer nodes at the instance when it
	// last reported its load, at loadAt.
	peerLoad float64
	loadAt   time.Time
	// level is the level that the instance last reported, at levelAt.
	level   admission.Level
	levelAt time.Time
	// usableSlots is the number of slots that the instance's rate limit can keep busy or that it
	// has learned to take well, as last reported at loadAt, zero when it reported neither.
	usableSlots int

	// ratio is the mean latency ratio of recent calls: their latency divided by their
	// kind's mean latency over all instances. ratioAt is the time of the last sample.
	ratio   float64
	ratioAt time.Time
	// samples is the number of latency ratios observed since the instance became known
	// or was last readmitted.
	samples int

	// speed estimates how long calls take at the instance compared with the others.
	speed instanceSpeed

	// losses estimates how many responses of the instance are lost.
	losses lossEstimate

	// ejected is set while the instance is left out of the choice as a straggler.
	ejected bool
	// probedAt is the time of the last probe of the ejected instance, or of the ejection
	// before the first one. picksSinceProbe counts the picks since then for which
	// takeProbeTarget considered a probe of the instance.
	probedAt        time.Time
	picksSinceProbe int
	// probesInFlight is the number of probes that have not ended, fastProbes that of
	// consecutive fast ones.
	probesInFlight int
	fastProbes     int
	// readmittedAt is when the instance's last ejection ended, zero if it had none.
	readmittedAt time.Time
}

func newInstanceState(now time.Time, i Instance) *instanceState {
	return &instanceState{Instance: i, ratio: 1, ratioAt: now}
}

// startCall counts an attempt that is sent to the instance. expected is the mean latency
// of its kind in seconds, zero when it is not known.
func (s *instanceState) startCall(now time.Time, expected float64) {
	if s.outstanding == 0 {
		s.startBase = now
		s.rateSum, s.startSum, s.timedCalls = 0, 0, 0
	}
	s.outstanding++
	if expected > 0 {
		s.timedCalls++
		s.rateSum += 1 / expected
		s.startSum += now.Sub(s.startBase).Seconds() / expected
	}
}

// finishCall removes an attempt from the outstanding ones. It has to be called once for
// each startCall.
func (s *instanceState) finishCall(c Choice) {
	if !invariant.Check(s.outstanding > 0, "balancer done once per pick", "instance %s", s.ID) {
		return
	}
	s.outstanding--
	if c.expected > 0 {
		s.timedCalls--
		s.rateSum -= 1 / c.expected
		s.startSum -= c.Started.Sub(s.startBase).Seconds() / c.expected
	}
}

// outstandingRatio returns the mean age of the outstanding calls relative to their
// kind's latency, or 0 with fewer than minOutstanding of them whose expected latency is
// known. It shows a straggler before its first late response.
func (s *instanceState) outstandingRatio(now time.Time) float64 {
	if s.timedCalls < minOutstanding {
		return 0
	}
	return (now.Sub(s.startBase).Seconds()*s.rateSum - s.startSum) / float64(s.timedCalls)
}

// observeRatio adds a sample to the latency ratio.
func (s *instanceState) observeRatio(now time.Time, ratio float64) {
	ratio = min(ratio, maxRatio)
	old := s.decayedRatio(now)
	weight := 1 - math.Exp(-now.Sub(s.ratioAt).Seconds()/ratioWindow.Seconds())
	weight = min(max(weight, minRatioWeight), maxRatioWeight)
	s.ratio = old + weight*(ratio-old)
	s.ratioAt = now
	s.samples++
}

// decayedRatio returns the latency ratio, decayed towards 1 since the last sample.
func (s *instanceState) decayedRatio(now time.Time) float64 {
	elapsed := now.Sub(s.ratioAt)
	if elapsed < 50*time.Millisecond {
		return s.ratio
	}
	return 1 + (s.ratio-1)*math.Exp(-elapsed.Seconds()/ratioTimeConstant.Seconds())
}

// slowness returns the instance's latency relative to the mean over all instances: 1 is
// as fast as the mean. It is the higher of the ratios of finished and outstanding calls.
func (s *instanceState) slowness(now time.Time) float64 {
	return max(s.decayedRatio(now), s.outstandingRatio(now))
}

// observeLoad stores the load that the instance reported.
func (s *instanceState) observeLoad(now time.Time, l admission.Load) {
	s.peerLoad = max(0, float64(l.Running+l.Queued-s.outstanding))
	s.loadAt = now
	s.usableSlots = 0
	if l.RateLimit != nil {
		s.usableSlots = max(1, l.Slots)
	}
	s.level = l.Level
	s.levelAt = now
}

// knownLevel returns the last reported level, or the zero level when it is older than
// levelExpiry.
func (s *instanceState) knownLevel(now time.Time) admission.Level {
	if now.Sub(s.levelAt) >= levelExpiry {
		return admission.Level{}
	}
	return s.level
}

// capacity returns the number of calls that the instance can run at a time, as far as this
// node knows.
func (s *instanceState) capacity(now time.Time) float64 {
	slots := max(1, s.Slots)
	if s.usableSlots > 0 && now.Sub(s.loadAt) < usableSlotsExpiry {
		slots = min(slots, s.usableSlots)
	}
	return float64(slots)
}

// load estimates the number of in-flight calls at the instance, from all nodes, as far
// as this node knows.
func (s *instanceState) load(now time.Time) float64 {
	load := float64(s.outstanding)
	if s.peerLoad > 0 {
		load += s.peerLoad * math.Exp(-now.Sub(s.loadAt).Seconds()/loadTimeConstant.Seconds())
	}
	return load
}

// cost estimates the delay of one more call, in units of its kind's latency: the calls
// per slot, times the slowness as far as it exceeds slownessMargin.
func (s *instanceState) cost(now time.Time) float64 {
	return (s.load(now) + 1) / s.capacity(now) * max(1, s.slowness(now)/slownessMargin)
}

// finishTime estimates the time that one more call of a kind takes to finish, in units of the kind's
// mean: the relative latency of the instance, longer by the calls per slot that share it or wait
// before it.
func (s *instanceState) finishTime(now time.Time, kind string) float64 {
	latency := max(s.speed.relativeLatency(now, kind), s.slowness(now)/slownessMargin)
	return latency * (1 + (s.load(now)+1)/s.capacity(now))
}

// queueing reports whether another call would be queued at the instance, as far as
// this node knows.
func (s *instanceState) queueing(now time.Time) bool {
	return s.load(now) >= s.capacity(now)
}

// rampFraction returns the fraction of its usual share of calls that the instance gets,
// from minRampFraction to 1. The fraction grows for rampUp after the instance becomes
// ready, and for readmitRampUp after it is readmitted.
func (s *instanceState) rampFraction(now time.Time, rampUp time.Duration) float64 {
	fraction := linearRamp(now.Sub(s.ReadySince), rampUp)
	if !s.readmittedAt.IsZero() {
		fraction = min(fraction, linearRamp(now.Sub(s.readmittedAt), readmitRampUp))
	}
	return fraction
}

// linearRamp returns a fraction that grows in proportion to the time elapsed since the
// start of a ramp, from minRampFraction to 1 at the end of the period.
func linearRamp(elapsed, period time.Duration) float64 {
	if period <= 0 || elapsed >= period {
		return 1
	}
	return max(minRampFraction, float64(elapsed)/float64(period))
}
