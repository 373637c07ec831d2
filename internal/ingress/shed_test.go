package ingress_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// Guards against a chain that learns only one hop up that a service below sheds,
// and repeats the work above it.
func TestShedCallBelowStopsRetriesOfTheWholeChain(t *testing.T) {
	f := newFleet(t, func(f *fleet) { f.values.Timeout = time.Minute; f.values.QueuePerSlot = 0 })
	caller := newCaller(t)
	holding, release := make(chan struct{}), make(chan struct{})
	f.add("last", startUpstream(t, func(http.ResponseWriter, *http.Request) {
		close(holding)
		<-release
	}), func(a *upstream.Announcement) { a.Slots, a.MaxConnections = 1, 2 })
	var runs [2]atomic.Int32
	addChained(t, f, caller, "middle", "last", &runs[1])
	addChained(t, f, caller, "first", "middle", &runs[0])

	held := make(chan error, 1)
	go func() {
		_, err := caller.Do(newRequest(t, http.MethodPost, f.nodes[0].caller, "last", ""))
		held <- err
	}()
	<-holding
	response, err := caller.Do(newRequest(t, http.MethodGet, f.nodes[0].caller, "first", ""))
	assert.NilError(t, err)
	assertCode(t, response, resultcode.OK, resultcode.Unknown)
	close(release)
	assert.NilError(t, <-held)
	assert.Equal(t, runs[1].Load(), int32(1), "executions of the service above the one that sheds")
	assert.Equal(t, runs[0].Load(), int32(1), "executions two services above it")
}

// addChained adds a service that calls another and fails when that call fails.
func addChained(t *testing.T, f *fleet, caller *http.Client, service, child string, runs *atomic.Int32) {
	var n *node
	n = f.add(service, startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		response, err := caller.Do(childRequest(t, r, http.MethodGet, n.loopback, child, ""))
		if !assert.Check(t, err) {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		w.WriteHeader(response.StatusCode)
	}), fewSlots)
}
