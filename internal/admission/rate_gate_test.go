package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// startLog records when calls of each priority started.
type startLog struct {
	mu     sync.Mutex
	at     []time.Time
	starts [call.PriorityCount]int
}

func (l *startLog) add(p call.Priority) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
	l.starts[p]++
}

// most returns the largest number of starts in any span of the given length.
func (l *startLog) most(span time.Duration) int {
	most, first := 0, 0
	for last := range l.at {
		for l.at[last].Sub(l.at[first]) > span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// load makes 80 calls per second of random priorities, each of 200 ms, for a duration.
func load(t *testing.T, c *Controller, random *rand.Rand, duration time.Duration) *startLog {
	t.Helper()
	log := &startLog{}
	var group sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / 80))
		r := Request{Kind: "search", Priority: call.Priority(random.IntN(call.PriorityCount)), Rank: random.Uint32(), Deadline: time.Now().Add(5 * time.Second)}
		group.Go(func() {
			slot, err := c.Acquire(t.Context(), r)
			if err != nil {
				assert.Check(t, resultcode.From(err).Execution == resultcode.NotRun, "%v", err)
				return
			}
			log.add(r.Priority)
			time.Sleep(200 * time.Millisecond)
			slot.Release(resultcode.Run)
		})
	}
	group.Wait()
	return log
}

// Guards against more calls than an upstream's rate limit allows, fewer than it would take,
// less important calls served in place of more important ones, and a limit that outlasts its
// cause.
func TestStartsFollowTheRateLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.3, 2, 6.8, 40, 1e300} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 1))
				c := New(Config{Slots: 36, QueuePerSlot: 1, QueueTimeout: 250 * time.Millisecond, LongShare: 0.5})
				load(t, c, random, time.Second)
				c.SetRateLimit(&limit)
				log := load(t, c, random, 20*time.Second)
				allowed := 1.5*4*limit + 5
				assert.Assert(t, float64(log.most(4*time.Second)) <= allowed, "%d calls in 4 s, allowed %g", log.most(4*time.Second), allowed)
				want := 0.85 * min(limit, 80) * 20
				assert.Assert(t, float64(len(log.at)) >= max(8, want), "%d calls in 20 s, want %g", len(log.at), want)
				if limit == 40 {
					assert.Assert(t, log.starts[call.Critical] > 4*log.starts[call.Background], "%v", log.starts)
				}
				c.SetRateLimit(nil)
				time.Sleep(time.Second)
				after := load(t, c, random, 2*time.Second)
				assert.Assert(t, len(after.at) > 100, "%d calls in 2 s after the limit has ended", len(after.at))
			})
		})
	}
}

// Guards against a rate limit that is lost or misread on its way between nodes.
func TestRateLimitInLoadHeader(t *testing.T) {
	limit := 6.75
	parsed, err := ParseLoad(Load{Running: 1, Slots: 2, RateLimit: &limit}.String())
	assert.NilError(t, err)
	assert.Equal(t, *parsed.RateLimit, limit)
	for _, text := range []string{"", "x", "-1", "NaN", "Inf", "1e999"} {
		parsed, err := ParseLoad(Load{Slots: 2}.String() + rateLimitField + text)
		assert.NilError(t, err)
		assert.Assert(t, parsed.RateLimit == nil, "%q", text)
	}
}

// Guards against a queue that a huge rate limit makes shorter, or of negative length.
func TestHugeRateLimitLeavesQueueLimit(t *testing.T) {
	c := newCore(Config{Slots: 4, QueuePerSlot: 1, QueueTimeout: 250 * time.Millisecond, LongShare: 0.5})
	want := c.queueLimit(start)
	for _, limit := range []float64{1e6, 1e19, 1e300, math.MaxFloat64} {
		c.setRateLimit(start, &limit)
		assert.Equal(t, c.queueLimit(start), want, "%g", limit)
	}
}
