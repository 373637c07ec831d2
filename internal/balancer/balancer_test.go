package balancer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/invariant"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// TestMain sets a fixed rapid seed, which the command line can override.
func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	config = Config{Region: "ro", StragglerFraction: 0.34, RampUp: 10 * time.Second}
)

func newTestCore(seed uint64, n int) *core {
	c := newCore(config, rand.New(rand.NewPCG(seed, 0)))
	c.setInstances(start, instances(n))
	return c
}

func instances(n int) []Instance {
	var all []Instance
	for i := range n {
		all = append(all, Instance{ID: fmt.Sprint("search-", i), Region: "ro", Slots: 35, ReadySince: start.Add(-time.Hour)})
	}
	return all
}

func response(latency time.Duration) Feedback {
	return Feedback{Latency: latency, Execution: resultcode.Run, Load: &admission.Load{Slots: 35}}
}

// outstandingCall is a picked call that ends at end with the given feedback.
type outstandingCall struct {
	end      time.Time
	choice   Choice
	feedback Feedback
}

// runTraffic makes one call per millisecond, which finishes after the latency that
// respond returns for its instance, and returns the number of calls by instance.
func runTraffic(c *core, now *time.Time, calls int, respond func(id string) Feedback) map[string]int {
	counts := make(map[string]int)
	var outstanding []outstandingCall
	for range calls {
		*now = now.Add(time.Millisecond)
		outstanding = finishDue(c, *now, outstanding)
		choice, err := c.pick(*now, PickRequest{Kind: "list", Priority: call.Normal})
		if err != nil {
			continue
		}
		counts[choice.Instance.ID]++
		f := respond(choice.Instance.ID)
		outstanding = append(outstanding, outstandingCall{end: now.Add(f.Latency), choice: choice, feedback: f})
	}
	finishDue(c, now.Add(time.Minute), outstanding)
	return counts
}

// finishDue reports the calls that end by now to the balancer and returns the others.
func finishDue(c *core, now time.Time, outstanding []outstandingCall) []outstandingCall {
	kept := outstanding[:0]
	for _, p := range outstanding {
		if p.end.After(now) {
			kept = append(kept, p)
			continue
		}
		c.done(p.end, p.choice, p.feedback)
	}
	return kept
}

// Guards against a straggler that keeps getting calls, and against one that is never
// readmitted after it recovered.
func TestStragglerIsEjectedAndReadmitted(t *testing.T) {
	c := newTestCore(1, 4)
	now := start
	slow := func(id string) Feedback {
		if id == "search-2" {
			return response(200 * time.Millisecond)
		}
		return response(20 * time.Millisecond)
	}
	runTraffic(c, &now, 1000, slow)
	assert.DeepEqual(t, c.ejectedIDs(), []string{"search-2"})
	counts := runTraffic(c, &now, 10000, slow)
	assert.Assert(t, counts["search-2"] >= 10 && counts["search-2"] < 100, "%v", counts)
	fast := func(string) Feedback { return response(20 * time.Millisecond) }
	runTraffic(c, &now, 5000, fast)
	assert.Equal(t, len(c.ejectedIDs()), 0)
	counts = runTraffic(c, &now, 4000, fast)
	assert.Assert(t, counts["search-2"] > 700, "%v", counts)
}

// Guards against an instance that attracts calls because it fails quickly.
func TestErrorsDoNotLookFast(t *testing.T) {
	c := newTestCore(1, 4)
	now := start
	counts := runTraffic(c, &now, 4000, func(id string) Feedback {
		if id == "search-1" {
			return Feedback{Latency: time.Microsecond, Failed: true}
		}
		return response(20 * time.Millisecond)
	})
	assert.Assert(t, counts["search-1"] < 100, "%v", counts)
}

// Guards against an instance that hangs and keeps getting calls: it returns no response
// to measure, so only the age of its outstanding calls shows the fault.
func TestHangingInstanceIsEjected(t *testing.T) {
	c := newTestCore(1, 4)
	now := start
	runTraffic(c, &now, 500, func(string) Feedback { return response(20 * time.Millisecond) })
	hung := 0
	for range 500 {
		now = now.Add(time.Millisecond)
		choice, err := c.pick(now, PickRequest{Kind: "list"})
		assert.NilError(t, err)
		if choice.Instance.ID == "search-3" {
			hung++
			continue
		}
		c.done(now, choice, response(20*time.Millisecond))
	}
	assert.Assert(t, hung < 30, "%d calls went to the hanging instance", hung)
}

// Guards against an instance that looks like a straggler because it gets more calls of
// a slow kind.
func TestKindsAreComparedByRatio(t *testing.T) {
	c := newTestCore(1, 3)
	now := start
	for i := range 3000 {
		now = now.Add(time.Millisecond)
		// Every third call is of a slow kind, and all of those go to search-0.
		r, latency := PickRequest{Kind: "list"}, 10*time.Millisecond
		if i%3 == 0 {
			r, latency = PickRequest{Kind: "report", Exclude: []string{"search-1", "search-2"}}, time.Second
		}
		choice, err := c.pick(now, r)
		assert.NilError(t, err)
		c.done(now, choice, response(latency))
	}
	assert.Equal(t, len(c.ejectedIDs()), 0)
}

// Guards against an instance that gets its full share of calls as soon as it is ready,
// while it is still cold, and against a cold instance that gets no calls.
func TestRampUp(t *testing.T) {
	c := newTestCore(1, 4)
	now := start
	all := instances(4)
	all[3].ReadySince = now
	c.setInstances(now, all)
	fast := func(string) Feedback { return response(20 * time.Millisecond) }
	early := runTraffic(c, &now, 1000, fast)["search-3"]
	assert.Assert(t, early > 5 && early < 60, "%d of 1000 calls in the first second", early)
	now = start.Add(11 * time.Second)
	late := runTraffic(c, &now, 1000, fast)["search-3"]
	assert.Assert(t, late > 180, "%d of 1000 calls after the ramp-up", late)
}

// Guards against hedges for more than 1 % of the calls, and against hedges while an
// instance sheds calls.
func TestHedgesAreLimited(t *testing.T) {
	c := newTestCore(1, 4)
	now := start
	hedges := 0
	runTraffic(c, &now, 10000, func(string) Feedback {
		if _, ok := c.hedgeDelay(now, "list"); ok {
			choice, err := c.pick(now, PickRequest{Kind: "list", Hedge: true})
			assert.NilError(t, err)
			c.done(now, choice, Feedback{Code: resultcode.CallerGone})
			hedges++
		}
		return response(20 * time.Millisecond)
	})
	assert.Assert(t, hedges > 50 && hedges <= 100, "%d hedges for 10000 calls", hedges)
	c.hedges.tokens = 2
	c.eligible[0].observeLoad(now, admission.Load{Level: admission.Level{Priority: call.Normal}})
	_, ok := c.hedgeDelay(now, "list")
	assert.Assert(t, !ok)
}

// Guards against memory that grows with the number of kinds that callers send or of
// instances that were replaced.
func TestMemoryIsBounded(t *testing.T) {
	c := newTestCore(1, 4)
	now := start
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		choice, err := c.pick(now, PickRequest{Kind: fmt.Sprint("kind-", i)})
		assert.NilError(t, err)
		c.done(now, choice, response(time.Millisecond))
		all := instances(4)
		all[0].Incarnation = uint64(i)
		c.setInstances(now, all)
	}
	assert.Assert(t, len(c.kinds.kinds) <= maxKinds)
	assert.Equal(t, len(c.instances), 4)
}

// Guards against a second Done for one Pick that goes unnoticed: the instance would
// seem to have fewer outstanding calls than it has.
func TestSecondDoneViolatesInvariant(t *testing.T) {
	c := newTestCore(1, 1)
	choice, err := c.pick(start, PickRequest{})
	assert.NilError(t, err)
	c.done(start, choice, response(time.Millisecond))
	invariant.OnViolation(nil)
	defer invariant.PanicOnViolation()
	before := invariant.Count()
	c.done(start, choice, response(time.Millisecond))
	assert.Equal(t, invariant.Count(), before+1)
}

// randomFeedback returns an outcome as it occurs in a load surge: slow responses, errors,
// refusals and reported levels.
func randomFeedback(random *rand.Rand) Feedback {
	codes := []resultcode.Code{
		resultcode.OK, resultcode.OK, resultcode.Overloaded, resultcode.ConnectionLost,
		resultcode.DeadlineExceeded, resultcode.UpstreamUnreachable, resultcode.CallerGone, resultcode.Draining,
	}
	code := codes[random.IntN(len(codes))]
	f := Feedback{
		Latency:   time.Duration(random.Int64N(int64(3 * time.Second))),
		Code:      code,
		Execution: resultcode.Lookup(code).Execution,
		Failed:    random.IntN(4) == 0,
	}
	if random.IntN(2) == 0 {
		level := admission.Level{Priority: call.Priority(random.IntN(4)), Rank: random.Uint32()}
		f.Load = &admission.Load{Running: random.IntN(40), Queued: random.IntN(40), Slots: 35, Level: level}
	}
	return f
}

// Guards against measurements from a load surge that still divert calls afterwards,
// against more ejected instances than allowed, and against a pick that fails although an
// instance is not known to shed the call.
func TestStateRecoversAfterSurge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "instances")
		seed := rapid.Uint64().Draw(t, "seed")
		c := newTestCore(seed, n)
		random := rand.New(rand.NewPCG(seed, 1))
		now := start
		for range 2000 {
			now = now.Add(time.Millisecond)
			r := PickRequest{Kind: "list", Priority: call.Priority(random.IntN(4)), Rank: random.Uint32(), PreferLowestLevel: random.IntN(8) == 0}
			choice, err := c.pick(now, r)
			if err != nil {
				assertAllShed(t, c, now, r)
				continue
			}
			c.done(now, choice, randomFeedback(random))
			assert.Assert(t, len(c.ejectedIDs()) <= int(config.StragglerFraction*float64(n)))
		}
		// The outcomes of the next 100 calls report no load, so a pick can only succeed
		// because the known levels have expired.
		now = now.Add(levelExpiry)
		for range 100 {
			choice, err := c.pick(now, PickRequest{Kind: "list", Priority: call.Background})
			assert.NilError(t, err)
			c.done(now, choice, Feedback{Code: resultcode.CallerGone})
		}
		fast := func(string) Feedback { return response(20 * time.Millisecond) }
		runTraffic(c, &now, 10000, fast)
		assert.Equal(t, len(c.ejectedIDs()), 0)
		for id, count := range runTraffic(c, &now, 2000, fast) {
			assert.Assert(t, count > 2000/n/2, "%s got %d of 2000", id, count)
		}
	})
}

// Guards against level probes of lower priority than the calls that the balancer refuses
// meanwhile. A level probe is a call that the balancer sends although every instance is
// known to shed it. An instance may run it while the balancer refuses the others.
func TestLevelProbesHaveHighestRefusedLevel(t *testing.T) {
	c := newTestCore(1, 4)
	now := start
	sent := make(map[call.Priority]int)
	for i := range 4000 {
		now = now.Add(time.Millisecond)
		for _, s := range c.eligible {
			s.observeLoad(now, admission.Load{Slots: 35, Level: admission.Level{Priority: call.Critical}})
		}
		p := call.Priority(i % 3)
		choice, err := c.pick(now, PickRequest{Kind: "list", Priority: p, Rank: c.random.Uint32()})
		if err == nil {
			sent[p]++
			c.done(now, choice, Feedback{Code: resultcode.Overloaded})
		}
	}
	assert.Assert(t, sent[call.High] > 20 && sent[call.High] <= 80, "%v", sent)
	assert.Assert(t, sent[call.Normal]+sent[call.Background] <= 1, "%v", sent)
}

// assertAllShed checks that every eligible instance is known to shed the request.
func assertAllShed(t *rapid.T, c *core, now time.Time, r PickRequest) {
	for _, s := range c.eligible {
		assert.Assert(t, r.level().Below(s.knownLevel(now)), "%+v was refused while %s has level %+v", r, s.ID, s.knownLevel(now))
	}
}

// BenchmarkPick measures one Pick and one Done with six instances.
func BenchmarkPick(b *testing.B) {
	balancer := New(config, rand.New(rand.NewPCG(1, 0)))
	balancer.SetInstances(start, instances(6))
	load := &admission.Load{Running: 10, Slots: 35}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		choice, err := balancer.Pick(now, PickRequest{Kind: "list", Priority: call.Normal})
		if err != nil {
			b.Fatal(err)
		}
		balancer.Done(now, choice, Feedback{Latency: 20 * time.Millisecond, Execution: resultcode.Run, Load: load})
	}
}
