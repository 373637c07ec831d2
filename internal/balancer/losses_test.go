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

// losing answers like a sound instance but loses part of the answers of ids.
func losing(seed uint64, part float64, ids ...string) func(string) Feedback {
	random := rand.New(rand.NewPCG(seed, 5))
	return func(id string) Feedback {
		for _, losing := range ids {
			if id == losing && random.Float64() < part {
				return Feedback{Latency: 20 * time.Millisecond, Code: resultcode.ConnectionLost, Execution: resultcode.Unknown, Failed: true}
			}
		}
		return answer(20 * time.Millisecond)
	}
}

// mixed makes two calls per millisecond, one that may be repeated and one that must
// not be, and returns the latter by instance.
func mixed(c *core, now *time.Time, calls int, respond func(id string) Feedback) map[string]int {
	counts := make(map[string]int)
	var open []pending
	for range calls {
		*now = now.Add(time.Millisecond)
		open = finish(c, *now, open)
		for _, once := range []bool{false, true} {
			choice, err := c.pick(*now, PickRequest{Kind: "list", Priority: call.Normal, NonIdempotent: once})
			if err != nil {
				continue
			}
			if once {
				counts[choice.Instance.ID]++
			}
			f := respond(choice.Instance.ID)
			open = append(open, pending{end: now.Add(f.Latency), choice: choice, feedback: f})
		}
	}
	finish(c, now.Add(time.Minute), open)
	return counts
}

// Guards against calls that run once and are sent to instances that lose answers
// while another one has room, although most instances lose answers; and against an
// instance that recovered and gets no such calls any more.
func TestCallsThatRunOnceAvoidLosses(t *testing.T) {
	c := newTestCore(1, 3)
	now := start
	respond := losing(1, 0.3, "search-0", "search-1")
	mixed(c, &now, 1000, respond)
	counts := mixed(c, &now, 4000, respond)
	assert.Assert(t, counts["search-2"] > 3800, "%v", counts)
	fast := func(string) Feedback { return answer(20 * time.Millisecond) }
	mixed(c, &now, 10000, fast)
	counts = mixed(c, &now, 3000, fast)
	assert.Assert(t, counts["search-0"] > 700 && counts["search-1"] > 700, "%v", counts)
}

// Guards against a retry budget spent on instances that lose answers while others
// have room, where more instances lose answers than may be set aside.
func TestRepeatableCallsAvoidLosses(t *testing.T) {
	c := newTestCore(1, 5)
	now := start
	respond := losing(1, 0.4, "search-0", "search-1", "search-3")
	traffic(c, &now, 1000, respond)
	counts := traffic(c, &now, 10000, respond)
	lossy := counts["search-0"] + counts["search-1"] + counts["search-3"]
	assert.Assert(t, lossy < 500, "%v", counts)
}

// Guards against a queue at the reliable instance: it takes the calls of others up to
// a load of reliableCost, which is 28 of 35 slots, and the next one goes elsewhere.
func TestReliableInstanceIsNotOverfilled(t *testing.T) {
	c := newTestCore(1, 3)
	now := start
	mixed(c, &now, 1000, losing(1, 0.3, "search-0", "search-1"))
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

// Guards against a single lost answer, or failures of a service below, that move
// calls away from a sound instance.
func TestSingleLossesAreNoReason(t *testing.T) {
	c := newTestCore(1, 3)
	now := start
	choose := func(f Feedback) {
		choice, err := c.pick(now, PickRequest{Kind: "list", Exclude: []string{"search-1", "search-2"}})
		assert.NilError(t, err)
		c.done(now, choice, f)
	}
	choose(Feedback{Code: resultcode.ConnectionLost, Execution: resultcode.Unknown, Failed: true})
	for range 20 {
		choose(Feedback{Code: resultcode.OK, Execution: resultcode.Run, Failed: true, NestedFailure: true})
		choose(Feedback{Code: resultcode.Overloaded, Execution: resultcode.NotRun, Load: &admission.Load{Slots: 35}})
		choose(Feedback{Code: resultcode.CallerGone, Execution: resultcode.Unknown})
	}
	assert.Equal(t, len(c.reliable(now, PickRequest{NonIdempotent: true}, c.scope)), 0)
}
