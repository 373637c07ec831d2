package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// lossyResponder returns a respond function that loses the given fraction of the
// responses of ids and succeeds otherwise.
func lossyResponder(seed uint64, fraction float64, ids ...string) func(string) Feedback {
	random := rand.New(rand.NewPCG(seed, 5))
	return func(id string) Feedback {
		for _, lossy := range ids {
			if id == lossy && random.Float64() < fraction {
				return Feedback{Latency: 20 * time.Millisecond, Code: resultcode.ConnectionLost, Execution: resultcode.Unknown, Failed: true}
			}
		}
		return response(20 * time.Millisecond)
	}
}

// runMixedTraffic makes two calls per millisecond, an idempotent and a non-idempotent
// one, and returns the number of non-idempotent calls by instance.
func runMixedTraffic(c *core, now *time.Time, calls int, respond func(id string) Feedback) map[string]int {
	counts := make(map[string]int)
	var outstanding []outstandingCall
	for range calls {
		*now = now.Add(time.Millisecond)
		outstanding = finishDue(c, *now, outstanding)
		for _, nonIdempotent := range []bool{false, true} {
			choice, err := c.pick(*now, PickRequest{Kind: "list", Priority: call.Normal, NonIdempotent: nonIdempotent})
			if err != nil {
				continue
			}
			if nonIdempotent {
				counts[choice.Instance.ID]++
			}
			f := respond(choice.Instance.ID)
			outstanding = append(outstanding, outstandingCall{end: now.Add(f.Latency), choice: choice, feedback: f})
		}
	}
	finishDue(c, now.Add(time.Minute), outstanding)
	return counts
}

// Guards against non-idempotent calls that are sent to instances that lose responses
// while a reliable one has capacity, also when most instances lose responses; and
// against a recovered instance that gets no such calls any more.
func TestNonIdempotentCallsAvoidLossyInstances(t *testing.T) {
	c := newTestCore(1, 3)
	now := start
	respond := lossyResponder(1, 0.3, "search-0", "search-1")
	runMixedTraffic(c, &now, 1000, respond)
	counts := runMixedTraffic(c, &now, 4000, respond)
	assert.Assert(t, counts["search-2"] > 3800, "%v", counts)
	fast := func(string) Feedback { return response(20 * time.Millisecond) }
	runMixedTraffic(c, &now, 10000, fast)
	counts = runMixedTraffic(c, &now, 3000, fast)
	assert.Assert(t, counts["search-0"] > 700 && counts["search-1"] > 700, "%v", counts)
}

// Guards against retry budget that is spent on instances that lose responses while other
// instances have capacity, when more instances lose responses than may be ejected.
func TestIdempotentCallsAvoidLossyInstances(t *testing.T) {
	c := newTestCore(1, 5)
	now := start
	respond := lossyResponder(1, 0.4, "search-0", "search-1", "search-3")
	runTraffic(c, &now, 1000, respond)
	counts := runTraffic(c, &now, 10000, respond)
	lossy := counts["search-0"] + counts["search-1"] + counts["search-3"]
	assert.Assert(t, lossy < 500, "%v", counts)
}

// Guards against a queue at the reliable instance: it gets the calls of the others up to
// a cost of reliableCostLimit, which is 28 of 35 slots, and the next call goes elsewhere.
func TestReliableInstanceIsNotOverfilled(t *testing.T) {
	c := newTestCore(1, 3)
	now := start
	runMixedTraffic(c, &now, 1000, lossyResponder(1, 0.3, "search-0", "search-1"))
	taken := 0
	for {
		choice, err := c.pick(now, PickRequest{Kind: "list", NonIdempotent: true})
		assert.NilError(t, err)
		if choice.Instance.ID != "search-2" {
			break
		}
		taken++
	}
	assert.Assert(t, taken >= 26 && taken <= 28, "%d calls", taken)
}

// Guards against a single lost response, refusals, cancelled calls or failed nested
// calls that divert calls from a reliable instance.
func TestSingleLossDoesNotDivertCalls(t *testing.T) {
	c := newTestCore(1, 3)
	now := start
	attempt := func(f Feedback) {
		choice, err := c.pick(now, PickRequest{Kind: "list", Exclude: []string{"search-1", "search-2"}})
		assert.NilError(t, err)
		c.done(now, choice, f)
	}
	attempt(Feedback{Code: resultcode.ConnectionLost, Execution: resultcode.Unknown, Failed: true})
	for range 20 {
		attempt(Feedback{Code: resultcode.OK, Execution: resultcode.Run, Failed: true, NestedFailure: true})
		attempt(Feedback{Code: resultcode.Overloaded, Execution: resultcode.NotRun, Load: &admission.Load{Slots: 35}})
		attempt(Feedback{Code: resultcode.CallerGone, Execution: resultcode.Unknown})
	}
	assert.Equal(t, len(c.mostReliable(now, PickRequest{NonIdempotent: true}, c.eligible)), 0)
}
