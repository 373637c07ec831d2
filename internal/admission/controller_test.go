package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Guards against a slot that is never released or is released twice, and a call that
// stays queued, when a cancellation, a queue timeout and a grant coincide, and against a
// refusal whose outcome is not NotRun.
func TestControllerLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Slots: 4, QueuePerSlot: 2, QueueTimeout: 50 * time.Millisecond, LongShare: 0.5})
		var group sync.WaitGroup
		for i := range 2000 {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			group.Go(func() { oneCall(t, c, random) })
			if i%500 == 0 {
				c.Configure(Config{Slots: 2 + i/500, QueuePerSlot: 2, QueueTimeout: 50 * time.Millisecond, LongShare: 0.5})
			}
		}
		group.Wait()
		load := c.Load()
		assert.Equal(t, load.Running, 0)
		assert.Equal(t, load.Queued, 0)
	})
}

// oneCall acquires a slot and releases it later, or checks that the refusal proves that
// the call was not run. It uses whole milliseconds, so that grants, timeouts and
// cancellations often coincide.
func oneCall(t *testing.T, c *Controller, random *rand.Rand) {
	ms := func(n int) time.Duration { return time.Duration(random.IntN(n)) * time.Millisecond }
	time.Sleep(ms(2000))
	ctx, cancel := context.WithTimeout(t.Context(), ms(100))
	defer cancel()
	slot, err := c.Acquire(ctx, Request{
		Kind: "search", Priority: call.Priority(random.IntN(4)), Rank: random.Uint32(), Deadline: time.Now().Add(ms(200)),
	})
	if err != nil {
		assert.Check(t, resultcode.From(err).Execution == resultcode.NotRun, "%v", err)
		return
	}
	time.Sleep(ms(20))
	slot.Release(resultcode.Run)
}

// Guards against a slot that leaks when a call is granted it at the same time as its
// caller disconnects. TestControllerLeaksNoSlot does not reach this interleaving.
func TestSlotGrantedToDisconnectedCallerIsReleased(t *testing.T) {
	c := newCore(Config{Slots: 1, QueuePerSlot: 1, QueueTimeout: time.Second, LongShare: 0.5})
	first := c.submit(start, Request{})
	second := c.submit(start, Request{})
	c.release(start, first, resultcode.Run)
	assert.Equal(t, second.state, running)
	c.cancel(start, second)
	assert.Equal(t, c.running, 0)
}

// Guards against a limit on slots that still applies when admission control is disabled.
// It would distort the benchmarks, which compare with a policy without overload control.
func TestDisabledAdmitsEverything(t *testing.T) {
	c := New(Config{Slots: 1, Disabled: true})
	for range 10 {
		_, err := c.Acquire(t.Context(), Request{})
		assert.NilError(t, err)
	}
	assert.Equal(t, c.Load().Running, 10)
}

// BenchmarkAcquire measures one Acquire and Release with a free slot.
func BenchmarkAcquire(b *testing.B) {
	c := New(Config{Slots: 35, QueuePerSlot: 1, QueueTimeout: time.Second, LongShare: 0.5})
	b.ReportAllocs()
	for b.Loop() {
		slot, err := c.Acquire(b.Context(), Request{Kind: "search", Priority: call.Normal, Rank: 1 << 30})
		if err != nil {
			b.Fatal(err)
		}
		slot.Release(resultcode.Run)
	}
}
