package admission

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/invariant"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// The seed is fixed unless the command line gives another one.
func TestMain(m *testing.M) {
	invariant.PanicOnBreach()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world drives a core with random steps and checks it against a list of calls.
type world struct {
	now   time.Time
	core  *core
	calls []*ticket
}

func (w *world) in(state ticketState) []*ticket {
	var found []*ticket
	for _, t := range w.calls {
		if t.state == state {
			found = append(found, t)
		}
	}
	return found
}

// outranks is written apart from the product's comparison.
func outranks(a, b *ticket) bool {
	x := uint64(a.request.Priority)<<32 | uint64(a.request.Rank)
	y := uint64(b.request.Priority)<<32 | uint64(b.request.Rank)
	return x > y || (x == y && a.sequence < b.sequence)
}

func drawConfig(t *rapid.T) Config {
	return Config{
		Slots:        rapid.IntRange(1, 6).Draw(t, "slots"),
		QueuePerSlot: rapid.SampledFrom([]float64{0, 0.5, 1, 2}).Draw(t, "queue"),
		QueueTimeout: 250 * time.Millisecond,
		LongShare:    rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "share"),
	}
}

func (w *world) enter(t *rapid.T) {
	r := Request{
		Kind:     rapid.SampledFrom([]string{"search", "report", "photo"}).Draw(t, "kind"),
		Priority: call.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Rank:     rapid.Uint32Range(0, 3).Draw(t, "rank") << 29,
	}
	if rapid.Bool().Draw(t, "deadline") {
		r.Deadline = w.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "remaining")) * time.Millisecond)
	}
	before := w.in(waiting)
	n := w.core.enter(w.now, r)
	w.calls = append(w.calls, n)
	for _, other := range before {
		sameLimit := !n.kind.long || other.kind.long
		if n.state == refused && n.code == resultcode.Overloaded && other.state == waiting && sameLimit {
			assert.Assert(t, outranks(other, n), "%+v was refused while %+v waits", n.request, other.request)
		}
		if other.state == refused && other.code == resultcode.Overloaded && n.state == waiting {
			assert.Assert(t, outranks(n, other), "%+v was evicted for %+v", other.request, n.request)
		}
	}
}

// release ends a call; the service time of reports is many times that of others.
func (w *world) release(t *rapid.T) {
	active := w.in(running)
	if len(active) == 0 {
		return
	}
	c := rapid.SampledFrom(active).Draw(t, "release")
	if c.request.Kind == "report" {
		w.now = w.now.Add(40 * time.Millisecond)
	}
	before := w.in(waiting)
	w.core.release(w.now, c, resultcode.Run)
	for _, granted := range before {
		if granted.state != running {
			continue
		}
		for _, other := range w.in(waiting) {
			blocked := other.kind.long && !granted.kind.long
			assert.Assert(t, blocked || outranks(granted, other), "%+v runs before %+v", granted.request, other.request)
		}
	}
}

func (w *world) leave(t *rapid.T) {
	queued := w.in(waiting)
	if len(queued) == 0 {
		return
	}
	c := rapid.SampledFrom(queued).Draw(t, "leave")
	if !w.now.Before(c.expires) {
		w.core.expire(c)
		return
	}
	w.core.abandon(w.now, c)
}

func (w *world) check(t *rapid.T, excess int) int {
	active := len(w.in(running))
	assert.Equal(t, active, w.core.running)
	assert.Equal(t, len(w.in(waiting)), w.core.waiting())
	assert.Assert(t, active <= max(w.core.config.Slots, excess), "%d run, %d slots", active, w.core.config.Slots)
	for _, c := range w.in(waiting) {
		assert.Assert(t, !w.core.mayRun(c), "%+v waits while a slot is free", c.request)
	}
	return active
}

// Guards against a call that is passed over by a less important one, against more
// calls than slots, and against idle slots in front of a queue.
func TestCoreKeepsOrderAndSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, core: newCore(drawConfig(t))}
		excess := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				w.core.configure(w.now, drawConfig(t))
			case 1, 2:
				w.leave(t)
			case 3, 4, 5:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "pass")) * time.Millisecond)
			case 6, 7, 8, 9, 10, 11:
				w.release(t)
			default:
				w.enter(t)
			}
			w.core.settled = w.core.settled[:0]
			excess = w.check(t, excess)
		}
	})
}

// Guards against a slot that is given back twice, which would let one more call
// run than the upstream has slots.
func TestSecondReleaseIsABreach(t *testing.T) {
	c := New(Config{Slots: 1, QueuePerSlot: 1, QueueTimeout: time.Second, LongShare: 0.5})
	slot, err := c.Acquire(t.Context(), Request{})
	assert.NilError(t, err)
	slot.Release(resultcode.Run)
	invariant.OnBreach(nil)
	defer invariant.PanicOnBreach()
	before := invariant.Count()
	slot.Release(resultcode.Run)
	assert.Equal(t, invariant.Count(), before+1)
	assert.Equal(t, c.Load().Running, 0)
}

// Guards against long jobs that take all slots, and against a bound on calls
// that are not long.
func TestLongKindsAreLearnedAndBounded(t *testing.T) {
	w := &world{now: start, core: newCore(Config{Slots: 10, QueuePerSlot: 1, QueueTimeout: time.Second, LongShare: 0.5})}
	for range 50 {
		s := w.core.enter(w.now, Request{Kind: "search"})
		w.now = w.now.Add(10 * time.Millisecond)
		w.core.release(w.now, s, resultcode.Run)
	}
	l := w.core.enter(w.now, Request{Kind: "report"})
	w.now = w.now.Add(time.Second)
	w.core.release(w.now, l, resultcode.Run)
	for range 9 {
		w.core.enter(w.now, Request{Kind: "report"})
	}
	assert.Equal(t, w.core.running, 5)
	s := w.core.enter(w.now, Request{Kind: "search"})
	assert.Equal(t, s.state, running)
}

// Guards against work for calls that a service below will shed, against a level
// that hits other kinds or calls in the middle of a chain, and against one that
// outlives its cause.
func TestCallsShedBelowAreRefusedOnArrival(t *testing.T) {
	w := &world{now: start, core: newCore(Config{Slots: 8, QueuePerSlot: 1, QueueTimeout: time.Second, LongShare: 0.5})}
	low := Request{Kind: "search", Priority: call.Normal, Rank: 1 << 28}
	for range 100 {
		w.now = w.now.Add(time.Millisecond)
		s := w.core.enter(w.now, Request{Kind: "search", Priority: call.Normal, Rank: 1 << 30})
		if s.state == running {
			s.childShed = true
			w.core.release(w.now, s, resultcode.Unknown)
		}
	}
	w.core.enter(w.now, low) // The probe that is due.
	assert.Equal(t, w.core.enter(w.now, low).state, refused)
	for _, free := range []Request{
		{Kind: "photo", Priority: call.Normal},
		{Kind: "search", Priority: call.Critical},
		{Kind: "search", Priority: call.Normal, Rank: 1 << 28, Depth: 1},
	} {
		assert.Equal(t, w.core.enter(w.now, free).state, running, "%+v", free)
	}
	w.now = w.now.Add(2 * time.Second)
	w.core.enter(w.now, low)
	assert.Equal(t, w.core.enter(w.now, low).state, running)
}

// Guards against a state that stays bad after a surge: a level, a learned service
// time or a queue that keeps refusing calls when the load is light again.
func TestNothingStaysBadAfterASurge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, core: newCore(Config{Slots: 8, QueuePerSlot: 1, QueueTimeout: 250 * time.Millisecond, LongShare: 0.5})}
		slow := time.Duration(rapid.IntRange(100, 5000).Draw(t, "slow")) * time.Millisecond
		rate := rapid.IntRange(1, 10).Draw(t, "rate")
		critical := rapid.IntRange(0, 3).Draw(t, "critical")
		w.surge(2*time.Second, rate, slow, call.Priority(critical))
		end := w.now
		w.light(end.Add(2 * time.Second))
		assert.Assert(t, w.core.load(w.now).Level == Level{}, "level %+v two seconds after", w.core.load(w.now).Level)
		refusals := w.light(end.Add(4 * time.Second))
		assert.Equal(t, refusals, 0)
	})
}

// surge offers calls with a deadline every millisecond and runs them slowly.
func (w *world) surge(length time.Duration, rate int, service time.Duration, p call.Priority) {
	end := w.now.Add(length)
	for i := uint32(0); w.now.Before(end); i++ {
		w.now = w.now.Add(time.Millisecond)
		for j := range rate {
			rank := (i*7919 + uint32(j)*104729) << 12
			w.calls = append(w.calls, w.core.enter(w.now, Request{Kind: "search", Priority: p, Rank: rank, Deadline: w.now.Add(time.Second)}))
		}
		w.step(service)
	}
}

// light offers one call every 5 ms, which takes 10 ms, and counts the refusals.
func (w *world) light(until time.Time) int {
	refusals := 0
	for w.now.Before(until) {
		w.now = w.now.Add(5 * time.Millisecond)
		c := w.core.enter(w.now, Request{Kind: "search", Deadline: w.now.Add(time.Second)})
		w.calls = append(w.calls, c)
		if c.state == refused {
			refusals++
		}
		w.step(10 * time.Millisecond)
	}
	return refusals
}

// step ends calls that ran for the service time, or for a second, their timeout.
func (w *world) step(service time.Duration) {
	open := w.calls[:0]
	for _, c := range w.calls {
		age := w.now.Sub(c.granted)
		switch {
		case c.state == running && age >= service:
			w.core.release(w.now, c, resultcode.Run)
		case c.state == running && age >= time.Second:
			w.core.release(w.now, c, resultcode.Unknown)
		case c.state == waiting && !w.now.Before(c.expires):
			w.core.expire(c)
		}
		if c.state <= running {
			open = append(open, c)
		}
	}
	w.calls = open
	w.core.settled = w.core.settled[:0]
}
