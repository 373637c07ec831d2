package ingress_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// fewSlots announces fewer slots and connections than fleet.add does by default.
func fewSlots(a *upstream.Announcement) { a.Slots, a.MaxConnections = 4, 8 }

// failingChain starts a chain of depth+1 services. Each but the last calls the next one
// and a service that always fails; then, like the last one, it responds with 503.
// failingChain returns the number of retries and of executions that one call to the first
// service causes. With baseline set, the nodes retry at each hop regardless of the
// allowance.
func failingChain(t *testing.T, depth int, baseline bool) (retries, executions int64) {
	f := newFleet(t, func(f *fleet) { f.baseline = baseline; f.values.Timeout = time.Minute })
	caller := newCaller(t)
	var executionCount atomic.Int64
	fail := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		executionCount.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.add("leaf", fail, fewSlots)
	for i := range depth {
		var n *node
		n = f.add("s"+strconv.Itoa(i), startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			executionCount.Add(1)
			for _, service := range []string{"s" + strconv.Itoa(i+1), "leaf"} {
				response, err := caller.Do(nestedRequest(t, r, http.MethodGet, n.loopbackAddress, service, ""))
				if !assert.Check(t, err) {
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}), fewSlots)
	}
	f.add("s"+strconv.Itoa(depth), fail, fewSlots)
	response, err := caller.Do(newRequest(t, http.MethodGet, f.nodes[0].callerAddress, "s0", ""))
	assert.NilError(t, err)
	assertCode(t, response, resultcode.OK, resultcode.Unknown)
	return f.count("router_retries"), executionCount.Load()
}

// Guards against retries that multiply at each hop: in a chain of 26 services
// with fan-out, where every call fails, they stay within the allowance of the root
// request. In a chain of 4, the baseline makes more than ten times as many.
func TestRetriesStayWithinRootAllowance(t *testing.T) {
	retries, executions := failingChain(t, 25, false)
	t.Logf("chain of 26 with allowance: %d retries, %d executions", retries, executions)
	assert.Assert(t, retries > 0 && retries <= int64(settings.Defaults().Retries))
	short, _ := failingChain(t, 3, false)
	without, executions := failingChain(t, 3, true)
	t.Logf("chain of 4: %d retries with allowance, %d without (%d executions)", short, without, executions)
	assert.Assert(t, without > 10*short)
}

// Guards against a nested call that raises its priority above its parent's, and
// against a call without a known parent that gets more than normal priority.
func TestNestedCallCannotRaisePriority(t *testing.T) {
	f := newFleet(t, func(f *fleet) { f.values.Priority = call.High })
	seen := make(chan string, 1)
	f.add("ledger", startUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get(call.HeaderPriority)
	}), nil)
	var n *node
	keepAttempt := true
	n = f.add("search", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		nested := nestedRequest(t, r, http.MethodGet, n.loopbackAddress, "ledger", "")
		if !keepAttempt {
			nested.Header.Del(call.HeaderAttempt)
		}
		nested.Header.Set(call.HeaderPriority, "critical")
		response, err := http.DefaultClient.Do(nested)
		assert.Check(t, err)
		assert.Check(t, response.Header.Get(call.HeaderRequestID) != "")
	}), nil)
	send := func(priority string) string {
		r := newRequest(t, http.MethodGet, n.callerAddress, "search", "")
		r.Header.Set(call.HeaderPriority, priority)
		_, err := newCaller(t).Do(r)
		assert.NilError(t, err)
		return <-seen
	}
	assert.Equal(t, send("background"), "background")
	assert.Equal(t, send("critical"), "high")
	keepAttempt = false
	assert.Equal(t, send("critical"), "normal")
}

// Guards against a non-idempotent nested call that runs twice because its parent
// was retried, and against two different nested calls that share one key.
func TestDerivedKeys(t *testing.T) {
	f := newFleet(t, nil)
	var executions, attempts atomic.Int32
	f.add("ledger", startUpstream(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) }), nil)
	caller := newCaller(t)
	var search, front *node
	search = f.add("search", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := caller.Do(nestedRequest(t, r, http.MethodPost, search.loopbackAddress, "ledger", "entry"))
		assert.Check(t, err)
		if attempts.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), nil)
	front = f.add("front", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		for range 2 {
			_, err := caller.Do(nestedRequest(t, r, http.MethodGet, front.loopbackAddress, "search", ""))
			assert.Check(t, err)
		}
	}), nil)
	_, err := caller.Do(newRequest(t, http.MethodGet, front.callerAddress, "front", ""))
	assert.NilError(t, err)
	assert.Equal(t, attempts.Load(), int32(3))
	assert.Equal(t, executions.Load(), int32(2))
}

// Guards against a drain that interrupts running calls or their nested calls, or
// accepts new calls after the grace period.
func TestDrain(t *testing.T) {
	var mu sync.Mutex
	now := time.Now()
	f := newFleet(t, func(f *fleet) {
		f.now = func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return now
		}
	})
	callerNode := f.add("", "", nil)
	f.add("ledger", startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "entry") }), nil)
	started, resume := make(chan struct{}), make(chan struct{})
	var n *node
	n = f.add("search", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-resume
		response, err := http.DefaultClient.Do(nestedRequest(t, r, http.MethodPost, n.loopbackAddress, "ledger", "x"))
		assert.Check(t, err)
		_, _ = io.Copy(w, response.Body)
	}), nil)
	result := make(chan string, 1)
	go func() {
		response, err := newCaller(t).Do(newRequest(t, http.MethodPost, callerNode.callerAddress, "search", "x"))
		assert.Check(t, err)
		body, err := io.ReadAll(response.Body)
		assert.Check(t, err)
		result <- string(body)
	}()
	<-started
	n.drain.Begin()
	mu.Lock()
	now = now.Add(time.Hour)
	mu.Unlock()
	drained := make(chan error, 1)
	go func() { drained <- n.drain.Wait(context.Background()) }()
	for _, address := range []string{n.callerAddress, callerNode.callerAddress} {
		response, err := newCaller(t).Do(newRequest(t, http.MethodPost, address, "search", "x"))
		assert.NilError(t, err)
		assertCode(t, response, resultcode.Draining, resultcode.NotRun)
	}
	select {
	case <-drained:
		t.Fatal("drained while a call runs")
	default:
	}
	close(resume)
	assert.Equal(t, <-result, "entry")
	assert.NilError(t, <-drained)
}
