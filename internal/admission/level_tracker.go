package admission

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

const (
	// levelWindow is how often the level is adjusted. A saturated window with fewer than
	// levelMinArrivals calls is extended up to levelMaxWindow, because the shed fraction
	// of a few calls is not significant.
	levelWindow      = 100 * time.Millisecond
	levelMaxWindow   = 500 * time.Millisecond
	levelMinArrivals = 20
	// levelExpiry is the age of a window from which the level is cleared. A window gets
	// that old only when, at least since its age was levelMaxWindow, no call of a short
	// kind has arrived and the load has not been read.
	levelExpiry = time.Second
	// When more than shedHighFraction of the calls at or above the level were shed, the
	// level rises towards one at which shedTargetFraction of them would have been shed.
	// When fewer than shedLowFraction were shed, it falls. The target is small because a
	// call deep in a chain often has no move left after a refusal, while avoiding an
	// instance because of its level costs nothing. It is not zero because calling nodes
	// that refuse too many calls early would leave slots idle.
	shedHighFraction   = 0.08
	shedTargetFraction = 0.05
	shedLowFraction    = 0.03
	// levelBuckets is the number of rank intervals in one priority. A bucket covers
	// 1<<levelBucketBits ranks.
	levelBuckets    = 64
	levelBucketBits = 26
	// levelIdleStep is the smallest step down, in buckets, after a window that was not
	// saturated.
	levelIdleStep = 16
)

// levelTracker estimates the level below which calls are shed. The instance reports the
// level in its load, so that nodes do not send it calls that it would shed; the
// admission of a call does not depend on it. Each step down is
// twice the previous one while little is shed, so that the level is zero within a
// second after a surge; a step that went too far is corrected in a single window.
type levelTracker struct {
	windowStart time.Time
	// arrived and shed are the numbers of calls at or above the level that arrived and
	// were shed in the window. counts divides the arrivals by bucket.
	arrived, shed int
	counts        [call.PriorityCount * levelBuckets]uint32
	// threshold is the first bucket that is not below the level.
	threshold int
	// step is the size of the last step down in buckets, zero after any other window.
	step int
	// saturated is set when a call that started in the window left no slot free or used up the
	// rate limit.
	saturated bool
}

// bucketOf returns the index of the bucket in levelTracker.counts that holds l.
func bucketOf(l Level) int {
	return int(min(l.Priority, call.PriorityCount-1))*levelBuckets + int(l.Rank>>levelBucketBits)
}

// recordArrival counts a call. It ignores calls below the level, which do not show
// whether the level is right: they come from nodes that have not learned the level yet, or
// they are level probes, which nodes send although they know the level.
func (t *levelTracker) recordArrival(now time.Time, l Level) {
	t.advance(now)
	b := bucketOf(l)
	if b < t.threshold {
		return
	}
	t.arrived++
	t.counts[b]++
}

// recordShed counts a call that was shed unless it is below the level.
func (t *levelTracker) recordShed(l Level) {
	if bucketOf(l) >= t.threshold {
		t.shed++
	}
}

// level returns the lower end of the threshold bucket.
func (t *levelTracker) level() Level {
	return Level{
		Priority: call.Priority(t.threshold / levelBuckets),
		Rank:     uint32(t.threshold%levelBuckets) << levelBucketBits,
	}
}

// advance closes the current window if it is over, adjusts the level and starts a
// new window.
func (t *levelTracker) advance(now time.Time) {
	age := now.Sub(t.windowStart)
	if age < levelWindow {
		return
	}
	// A window that is not saturated needs no more calls to show that the level is too
	// high.
	if t.saturated && t.arrived < levelMinArrivals && age < levelMaxWindow {
		return
	}
	t.adjust()
	if age >= levelExpiry {
		t.threshold = 0
	}
	t.windowStart = now
	t.arrived, t.shed = 0, 0
	t.counts = [len(t.counts)]uint32{}
	t.saturated = false
}

// adjust moves the level according to the fraction of calls that was shed in the
// window.
func (t *levelTracker) adjust() {
	shedFraction := 0.0
	if t.arrived > 0 {
		shedFraction = float64(t.shed) / float64(t.arrived)
	}
	if shedFraction > shedHighFraction {
		t.raise(shedFraction)
		return
	}
	if shedFraction < shedLowFraction {
		t.lower()
		return
	}
	t.step = 0
}

// raise moves the level half of the way, rounded up, to the bucket at and above which
// about as many calls arrived in the window as were served plus shedTargetFraction of all
// arrivals.
func (t *levelTracker) raise(shedFraction float64) {
	t.step = 0
	keep := uint32(float64(t.arrived) * (1 - shedFraction + shedTargetFraction))
	var sum uint32
	bucket := len(t.counts) - 1
	for ; bucket > t.threshold; bucket-- {
		sum += t.counts[bucket]
		if sum >= keep {
			break
		}
	}
	t.threshold += (bucket - t.threshold + 1) / 2
}

// lower moves the level down by twice the last step, and by at least levelIdleStep when
// the window was not saturated.
func (t *levelTracker) lower() {
	t.step = max(1, 2*t.step)
	if !t.saturated {
		t.step = max(levelIdleStep, t.step)
	}
	t.threshold = max(0, t.threshold-t.step)
}
