package admission

import (
	"math"
	"time"
)

// probeInterval is the interval at which one call of a kind may run although its
// expected service time exceeds the time until its deadline. Without these probes a
// kind whose estimate is too high would never run again and never correct the estimate.
const probeInterval = 50 * time.Millisecond

// recentWeight is the weight of a new service time in the recent mean.
const recentWeight = 0.3

// kindStats holds the statistics of one kind of call.
type kindStats struct {
	// mean is the mean service time in seconds over samples calls.
	mean    float64
	samples int
	// recentMean is a mean service time in seconds that follows a change within a few
	// calls.
	recentMean float64
	// calls and slotTime are decaying sums of the calls and of the seconds for which
	// they held a slot.
	calls, slotTime float64
	lastDecay       time.Time
	// lastUsed is the time of the last arrival, lastRun that of the last service time
	// recorded or probe admitted.
	lastUsed, lastRun time.Time
	long              bool
	// running counts the calls that hold a slot, queued those in the queue. startSum is
	// the sum of the start times of the running calls, in seconds since base.
	running, queued int
	startSum        float64
	base            time.Time
	nested          nestedLevel
}

func (s *kindStats) add(now time.Time, seconds float64) {
	s.decay(now)
	s.calls++
	s.slotTime += seconds
	s.lastRun = now
	s.samples++
	weight := max(serviceTimeWeight, 1/float64(s.samples))
	s.mean += weight * (seconds - s.mean)
	s.recentMean += max(weight, recentWeight) * (seconds - s.recentMean)
}

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
// is the smaller of the two means: after a slow period the slower mean would refuse
// calls that could be served.
func (s *kindStats) expectedServiceTime() time.Duration {
	return time.Duration(min(s.mean, s.recentMean) * float64(time.Second))
}

// probeDue reports whether a call may run as a probe now, and if so starts a new
// probeInterval.
func (s *kindStats) probeDue(now time.Time) bool {
	if now.Sub(s.lastRun) < probeInterval {
		return false
	}
	s.lastRun = now
	return true
}

func (s *kindStats) recordStart(now time.Time) {
	if s.running == 0 {
		s.base = now
		s.startSum = 0
	}
	s.running++
	s.startSum += now.Sub(s.base).Seconds()
}

func (s *kindStats) recordStop(start time.Time) {
	s.running--
	s.startSum -= start.Sub(s.base).Seconds()
}

// runningAge returns the mean age of the in-flight calls in seconds. It shows that a
// kind is long before its first calls have finished. It is zero once minLongRunning
// calls have finished: the mean is then the better measure, because a few old calls
// may be chance.
func (s *kindStats) runningAge(now time.Time) float64 {
	if s.running < minLongRunning || s.samples >= minLongRunning {
		return 0
	}
	return now.Sub(s.base).Seconds() - s.startSum/float64(s.running)
}

// isLong reports whether the kind is long compared with the reference, the shortest
// mean service time in seconds.
func (s *kindStats) isLong(now time.Time, reference float64) bool {
	if reference == 0 {
		return false
	}
	factor := longFactor
	if s.long {
		factor = longExitFactor
	}
	return max(s.mean, s.runningAge(now)) >= factor*reference
}
