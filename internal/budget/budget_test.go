package budget

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func bounds() Bounds {
	return Bounds{Ratio: 0.2, Slack: 47, Window: 10 * time.Second}
}

// seconds is the length of a run.
const seconds = 40

// history counts the arrivals at the service in each second.
type history struct {
	first, repeats [seconds]int
}

// sum counts the arrivals of one window.
func sum(counts [seconds]int, from, length int) int {
	n := 0
	for i := max(0, from); i < min(seconds, from+length); i++ {
		n += counts[i]
	}
	return n
}

// Guards against nodes that each spend the allowance of the whole fleet: in any
// window the repeats of all nodes stay within ratio and slack, also where the rate
// of calls falls at once and where nodes join.
func TestFleetStaysWithinTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 100).Draw(t, "nodes")
		fleet := make([]*Budget, nodes)
		for i := range fleet {
			fleet[i] = New(bounds())
			fleet[i].SetNodes(nodes)
		}
		start := time.Unix(0, 0)
		events := &history{}
		next := 0
		for second := range seconds {
			rate := rapid.SampledFrom([]int{0, 5, 50, 500}).Draw(t, fmt.Sprint("rate", second))
			failing := rapid.SampledFrom([]int{0, 1, 2, 5}).Draw(t, fmt.Sprint("failing", second))
			for i := range rate {
				now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(rate))
				b := fleet[next%nodes]
				next++
				b.RecordArrival(now, "s")
				events.first[second]++
				for range failing {
					if b.Take(now, "s", 1) {
						events.repeats[second]++
					}
				}
			}
		}
		checkWindows(t, events)
	})
}

// checkWindows compares each window with the bounds. The requests are those of
// the window, of the one before or of the one half a window before, as the
// operators count them.
func checkWindows(t *rapid.T, events *history) {
	b := bounds()
	length := int(b.Window / time.Second)
	for from := range seconds - length + 1 {
		requests := max(sum(events.first, from, length), sum(events.first, from-length/2, length), sum(events.first, from-length, length))
		repeats := sum(events.repeats, from, length)
		if limit := b.Ratio*float64(requests) + b.Slack; float64(repeats) > limit {
			t.Fatalf("window from second %d: %d repeats for %d requests, want at most %g", from, repeats, requests, limit)
		}
	}
}

// Guards against repeats that are spread over all roots, so that none completes:
// while they are scarce, calls of low standing get none.
func TestScarceRepeatsGoToHighStanding(t *testing.T) {
	b := New(bounds())
	now := time.Unix(0, 0)
	for range 1000 {
		b.RecordArrival(now, "s")
	}
	low, high := 0, 0
	for b.Take(now, "s", 0) {
		low++
	}
	for b.Take(now, "s", 1) {
		high++
	}
	assert.Assert(t, low > 0)
	assert.Assert(t, high > 4*low, "low %d, high %d", low, high)
}

// Guards against repeats below a repeated call that nobody counts.
func TestCallsBelowRepeatsAreCharged(t *testing.T) {
	b := New(bounds())
	now := time.Unix(0, 0)
	for range 100 {
		b.RecordArrival(now, "s")
	}
	for range 1000 {
		b.Charge(now, "s")
	}
	assert.Assert(t, !b.Take(now, "s", 1))
	for range 400 {
		b.RecordArrival(now, "s")
	}
	assert.Assert(t, b.Take(now, "s", 1), "the debt is bounded")
}
