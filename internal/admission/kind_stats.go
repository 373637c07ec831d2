package admission

import (
	"math"
	"time"
)

// probeInterval is how often a call of a kind may run although its learned
// service time says that it cannot finish in time. Without it a kind whose
// estimate is too high would never run again and never correct the estimate.
const probeInterval = 50 * time.Millisecond

// recentWeight is the weight of one more service time in the recent mean.
const recentWeight = 0.3

// kindStats is what is known about one kind of call.
type kindStats struct {
	// mean is the mean service time in seconds; samples counts what it rests on.
	mean    float64
	samples int
	// recent is a mean that follows a change within a few calls.
	recent float64
	// calls and work are decaying sums of calls and of their slot time in seconds.
	calls, work float64
	decayed     time.Time
	// used is the last arrival, lastRun the last call that was run or probed.
	used, lastRun time.Time
	long          bool
	// running counts calls that hold a slot, startSum the sum of their start
	// times in seconds since base, waiting those in the queue.
	running, waiting int
	startSum         float64
	base             time.Time
}

func (s *kindStats) add(now time.Time, seconds float64) {
	s.decay(now)
	s.calls++
	s.work += seconds
	s.lastRun = now
	s.samples++
	weight := max(serviceWeight, 1/float64(s.samples))
	s.mean += weight * (seconds - s.mean)
	s.recent += max(weight, recentWeight) * (seconds - s.recent)
}

func (s *kindStats) decay(now time.Time) {
	elapsed := now.Sub(s.decayed)
	if s.decayed.IsZero() {
		s.decayed = now
		return
	}
	if elapsed < time.Second {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / kindMemory.Seconds())
	s.calls *= factor
	s.work *= factor
	s.decayed = now
}

// expected returns the expected service time, zero when nothing is known. It is
// the smaller of the two means: after a slow spell the long mean would refuse
// calls that could be served.
func (s *kindStats) expected() time.Duration {
	return time.Duration(min(s.mean, s.recent) * float64(time.Second))
}

// probeDue reports whether a call may run against the estimate, and notes it.
func (s *kindStats) probeDue(now time.Time) bool {
	if now.Sub(s.lastRun) < probeInterval {
		return false
	}
	s.lastRun = now
	return true
}

func (s *kindStats) started(now time.Time) {
	if s.running == 0 {
		s.base = now
		s.startSum = 0
	}
	s.running++
	s.startSum += now.Sub(s.base).Seconds()
}

func (s *kindStats) stopped(start time.Time) {
	s.running--
	s.startSum -= start.Sub(s.base).Seconds()
}

// runningAge is the mean age of the running calls in seconds. It shows that a
// kind is long before its first call has finished.
func (s *kindStats) runningAge(now time.Time) float64 {
	if s.running < minLongRunning {
		return 0
	}
	return now.Sub(s.base).Seconds() - s.startSum/float64(s.running)
}

func (s *kindStats) isLong(now time.Time, reference float64) bool {
	if reference == 0 {
		return false
	}
	factor := longFactor
	if s.long {
		factor = longReturnFactor
	}
	return max(s.mean, s.runningAge(now)) >= factor*reference
}
