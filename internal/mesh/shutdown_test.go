package mesh

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Guards against calls that a node accepts although it ends before them, so that they are cut while
// their upstream runs them: nested calls and calls of peer nodes.
func TestCallWithoutTimeToEndIsRefusedAtShutdown(t *testing.T) {
	const duration = 100 * time.Millisecond
	for name, begin := range map[string]func(*cluster, time.Time){
		"the caller's node":   func(c *cluster, end time.Time) { c.outbound.EndAt(end) },
		"the upstream's node": func(c *cluster, end time.Time) { c.upstreams["i-0"].EndAt(end) },
	} {
		t.Run(name, func(t *testing.T) {
			up := &testUpstream{handler: func(_ context.Context, r *h1.Request) *h1.Response {
				time.Sleep(duration)
				return executed(r, http.StatusOK, "")
			}}
			c := newCluster(t, nonIdempotent(), up)
			c.outbound.config.InFlight.add(&inFlightCall{hop: hop{ID: "root"}, deadline: time.Now().Add(time.Minute)})
			accepted := func(id string, left time.Duration) bool {
				begin(c, time.Now().Add(left))
				before := up.received.Load()
				response := c.call(t.Context(), id)
				ran := up.received.Load() > before
				if !ran {
					assert.Equal(t, response.Status, http.StatusServiceUnavailable)
					assert.Equal(t, response.Header.Get(call.HeaderRun), resultcode.NotRun.String())
				}
				return ran
			}
			assert.Assert(t, !accepted("root.1", 300*time.Millisecond), "the duration is not known, and the deadline is later")
			assert.Assert(t, accepted("root.2", 2*time.Second), "the deadline is earlier")
			assert.Assert(t, accepted("root.3", 4*duration))
			assert.Assert(t, !accepted("root.4", duration))
		})
	}
}

// Guards against a retry that a node begins although it ends before it.
func TestRetryWithoutTimeToEndIsNotMade(t *testing.T) {
	const duration = 100 * time.Millisecond
	failing := func(_ context.Context, r *h1.Request) *h1.Response {
		time.Sleep(duration)
		return executed(r, http.StatusInternalServerError, "")
	}
	first, second := &testUpstream{handler: failing}, &testUpstream{handler: failing}
	c := newCluster(t, idempotent(), first, second)
	attempts := func(id string) int64 {
		before := first.received.Load() + second.received.Load()
		assert.Equal(t, c.call(t.Context(), id).Status, http.StatusInternalServerError)
		return first.received.Load() + second.received.Load() - before
	}
	assert.Equal(t, attempts("a"), int64(2))
	c.outbound.EndAt(time.Now().Add(c.outbound.shutdown.expected("kind", 0) + duration/2))
	assert.Equal(t, attempts("b"), int64(1))
}

// Guards against an estimate that follows a single slow call, or that ignores the slower ones.
func TestEstimateCoversMostCalls(t *testing.T) {
	s := newShutdown()
	for i := range 2 * recentDurations {
		s.observe("kind", time.Duration(1+i%32)*time.Millisecond)
	}
	s.observe("kind", time.Minute)
	expected := s.expected("kind", 0)
	assert.Assert(t, expected >= 31*time.Millisecond && expected <= 45*time.Millisecond, "%s", expected)
	for i := range 2 * maxDurationKinds {
		s.observe(fmt.Sprint(i), time.Millisecond)
	}
	assert.Equal(t, len(s.durations), maxDurationKinds)
}
