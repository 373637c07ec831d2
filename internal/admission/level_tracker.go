package admission

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

const (
	// levelWindow is how often the level is adjusted. A window with fewer than
	// levelMinArrivals calls is extended up to levelMaxWindow, because a few calls
	// say little about the part that is shed.
	levelWindow      = 100 * time.Millisecond
	levelMaxWindow   = 500 * time.Millisecond
	levelMinArrivals = 20
	// levelExpiry clears the level of an instance that saw no calls at all.
	levelExpiry = time.Second
	// The level rises when more than shedHigh of the calls at or above it were
	// shed, so that shedTarget would be, and falls below shedLow. The part is small
	// because a call deep in a chain often has no move left after a refusal, while
	// an instance passed over for its level costs nothing. It is not zero: callers
	// that refuse too much early would leave slots idle.
	shedHigh   = 0.08
	shedTarget = 0.05
	shedLow    = 0.03
	// levelBuckets divides the ranks of one priority.
	levelBuckets    = 64
	levelBucketBits = 26
	// levelIdleStep is the first step down after a window in which a slot was
	// free all the time.
	levelIdleStep = 16
)

// levelTracker finds the level below which calls are shed. Each step down doubles
// while nothing is shed, so that the level is gone within a second after a surge;
// one that went too far is corrected in a single window.
type levelTracker struct {
	start         time.Time
	arrived, shed int
	counts        [call.PriorityCount * levelBuckets]uint32
	// cut is the first bucket that is not below the level.
	cut  int
	step int
	// saturated is set when all slots were taken at some time in the window.
	saturated bool
}

func bucketOf(l Level) int {
	return int(min(l.Priority, call.PriorityCount-1))*levelBuckets + int(l.Rank>>levelBucketBits)
}

// arrive counts a call. Calls below the level are probes and calls of nodes that
// do not know the level yet; they say nothing about whether it is right.
func (t *levelTracker) arrive(now time.Time, l Level) {
	t.advance(now)
	b := bucketOf(l)
	if b < t.cut {
		return
	}
	t.arrived++
	t.counts[b]++
}

// refuse counts a call that was shed.
func (t *levelTracker) refuse(l Level) {
	if bucketOf(l) >= t.cut {
		t.shed++
	}
}

func (t *levelTracker) level() Level {
	return Level{
		Priority: call.Priority(t.cut / levelBuckets),
		Rank:     uint32(t.cut%levelBuckets) << levelBucketBits,
	}
}

// advance ends the window when it is over.
func (t *levelTracker) advance(now time.Time) {
	age := now.Sub(t.start)
	if age < levelWindow {
		return
	}
	// A window in which a slot was always free needs no more calls to show that
	// the level is too high.
	if t.saturated && t.arrived < levelMinArrivals && age < levelMaxWindow {
		return
	}
	t.adjust()
	if age >= levelExpiry {
		t.cut = 0
	}
	t.start = now
	t.arrived, t.shed = 0, 0
	t.counts = [len(t.counts)]uint32{}
	t.saturated = false
}

func (t *levelTracker) adjust() {
	rate := 0.0
	if t.arrived > 0 {
		rate = float64(t.shed) / float64(t.arrived)
	}
	if rate > shedHigh {
		t.raise(rate)
		return
	}
	if rate < shedLow {
		t.lower()
		return
	}
	t.step = 0
}

func (t *levelTracker) raise(rate float64) {
	t.step = 0
	keep := uint32(float64(t.arrived) * (1 - rate + shedTarget))
	var sum uint32
	cut := len(t.counts) - 1
	for ; cut > t.cut; cut-- {
		sum += t.counts[cut]
		if sum >= keep {
			break
		}
	}
	t.cut += (cut - t.cut + 1) / 2
}

func (t *levelTracker) lower() {
	t.step = max(1, 2*t.step)
	if !t.saturated {
		t.step = max(levelIdleStep, t.step)
	}
	t.cut = max(0, t.cut-t.step)
}
