package admission

import (
	"math"
	"time"
)

// probeInterval is the interval at which one call of a kind may run although its
// expected service time exceeds the time until its deadline. Without these probes a
// kind whose estimate is too high would never run again and never correct the estimate.
const probeInterval = 50 * time.Millisecond

// recentWeight is the lowest weight of a new service time in the recent mean.
const recentWeight = 0.3

// kindStats holds the statistics of one kind of call.
type kindStats struct {
	// mean is the moving mean of the service time in seconds, zero before the first
	// service time is recorded. samples is the number of service times recorded.
	mean    float64
	samples int
	// recentMean is a moving mean of the service time in seconds that follows a change
	// within a few calls.
	recentMean float64
	// calls and slotTime are decaying sums of the calls whose service time was recorded
	// and of the seconds for which they held a slot. lastDecay is the time of their last
	// decay.
	calls, slotTime float64
	lastDecay       time.Time
	// lastUsed is the time of the last arrival. probeWaitStart is the start of the wait
	// for the next probe: when the last service time was recorded or the last probe
	// admitted, or when the kind was created.
	lastUsed, probeWaitStart time.Time
	// long is set while the kind is classified as long.
	long bool
	// running counts the calls that hold a slot, queued those in the queue. startSum is
	// the sum of the start times of the running calls, in seconds since startBase, which
	// is the start of the first call after a time without running calls.
	running, queued int
	startSum        float64
	startBase       time.Time
	nested          nestedLevel
}

// recordServiceTime adds the service time of a call that finished at now. The first
// calls have equal weights in a mean, until the lowest weight of the mean is reached.
func (s *kindStats) recordServiceTime(now time.Time, seconds float64) {
	s.decay(now)
	s.calls++
	s.slotTime += seconds
	s.probeWaitStart = now
	s.samples++
	weight := max(serviceTimeWeight, 1/float64(s.samples))
	s.mean += weight * (seconds - s.mean)
	s.recentMean += max(weight, recentWeight) * (seconds - s.recentMean)
}

// decay reduces calls and slotTime with the time constant kindTimeConstant, at most once
// per second.
func (s *kindStats) decay(now time.Time) {
	elapsed := now.Sub(s.lastDecay)
	if s.lastDecay.IsZero() {
		s.lastDecay = now
		return
	}
	if elapsed < time.Second {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / kindTimeConstant.Seconds())
	s.calls *= factor
	s.slotTime *= factor
	s.lastDecay = now
}

// expectedServiceTime returns the expected service time, zero when none is known. It
// is the smaller of the two means: after a slow period, the larger mean would cause
// refusals of calls that could be served.
func (s *kindStats) expectedServiceTime() time.Duration {
	return time.Duration(min(s.mean, s.recentMean) * float64(time.Second))
}

// takeProbe reports whether a call of the kind may run as a probe now, and if so
// starts a new probeInterval.
func (s *kindStats) takeProbe(now time.Time) bool {
	if now.Sub(s.probeWaitStart) < probeInterval {
		return false
	}
	s.probeWaitStart = now
	return true
}

// recordStart counts a call that is granted a slot at now.
func (s *kindStats) recordStart(now time.Time) {
	if s.running == 0 {
		s.startBase = now
		s.startSum = 0
	}
	s.running++
	s.startSum += now.Sub(s.startBase).Seconds()
}

// recordStop removes a call that was granted its slot at start from the running calls.
func (s *kindStats) recordStop(start time.Time) {
	s.running--
	s.startSum -= start.Sub(s.startBase).Seconds()
}

// meanRunningAge returns the mean age of the running calls in seconds, which shows that
// a kind is long even before the first of its calls has finished. It returns zero while
// fewer than minLongRunning calls run, and once that many service times are recorded:
// their mean is then the better measure, because a few old calls may be chance.
func (s *kindStats) meanRunningAge(now time.Time) float64 {
	if s.running < minLongRunning || s.samples >= minLongRunning {
		return 0
	}
	return now.Sub(s.startBase).Seconds() - s.startSum/float64(s.running)
}

// isLong reports whether the kind is long compared with the reference, which is the
// result of kindTable.shortestMean. No kind is long when the reference is zero.
func (s *kindStats) isLong(now time.Time, reference float64) bool {
	if reference == 0 {
		return false
	}
	factor := longFactor
	if s.long {
		factor = longExitFactor
	}
	return max(s.mean, s.meanRunningAge(now)) >= factor*reference
}
