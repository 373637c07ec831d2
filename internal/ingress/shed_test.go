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

// Guards against a chain in which only the direct caller of a shedding service
// learns that it sheds, so that the services further up retry and run their work
// again.
func TestShedNestedCallStopsRetriesOfTheWholeChain(t *testing.T) {
	f := newFleet(t, func(f *fleet) { f.values.Timeout = time.Minute; f.values.QueuePerSlot = 0 })
	caller := newCaller(t)
	holding, release := make(chan struct{}), make(chan struct{})
	f.add("last", startUpstream(t, func(http.ResponseWriter, *http.Request) {
		close(holding)
		<-release
	}), func(a *upstream.Announcement) { a.Slots, a.MaxConnections = 1, 2 })
	var executions [2]atomic.Int32
	addCallingService(t, f, caller, "middle", "last", &executions[1])
	addCallingService(t, f, caller, "first", "middle", &executions[0])

	held := make(chan error, 1)
	go func() {
		_, err := caller.Do(newRequest(t, http.MethodPost, f.nodes[0].callerAddress, "last", ""))
		held <- err
	}()
	<-holding
	response, err := caller.Do(newRequest(t, http.MethodGet, f.nodes[0].callerAddress, "first", ""))
	assert.NilError(t, err)
	assertCode(t, response, resultcode.OK, resultcode.Unknown)
	close(release)
	assert.NilError(t, <-held)
	assert.Equal(t, executions[1].Load(), int32(1), "executions of the service that calls the shedding one")
	assert.Equal(t, executions[0].Load(), int32(1), "executions of the first service in the chain")
}

// addCallingService adds a service whose calls make a nested call to the service named by
// nested and respond with its status. executions counts them.
func addCallingService(t *testing.T, f *fleet, caller *http.Client, service, nested string, executions *atomic.Int32) {
	var n *node
	n = f.add(service, startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		executions.Add(1)
		response, err := caller.Do(nestedRequest(t, r, http.MethodGet, n.loopbackAddress, nested, ""))
		if !assert.Check(t, err) {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		w.WriteHeader(response.StatusCode)
	}), fewSlots)
}
