package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Guards against a call that reaches the upstream changed, or whose response does not
// reach the caller complete or carries a result code that the upstream set.
func TestCallPassesThroughTwoNodes(t *testing.T) {
	f := newFleet(t, nil)
	address := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.String()+" "+r.Host+" "+string(body))
		w.Header().Set("X-Attempt", r.Header.Get(call.HeaderAttempt))
		w.Header().Set(call.HeaderCode, "101")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "response")
	})
	callerNode := f.add("", "", nil)
	f.add("ledger", address, nil)
	response, err := newCaller(t).Do(newRequest(t, http.MethodPost, callerNode.callerAddress, "ledger", "request"))
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "response")
	assert.Equal(t, response.StatusCode, http.StatusCreated)
	assert.Equal(t, response.Header.Get("X-Seen"), "POST /path?q=1 ledger.example request")
	assert.Equal(t, response.Header.Get(call.HeaderCode), "0")
	assert.Equal(t, response.Header.Get(call.HeaderRun), "yes")
	_, err = uuid.Parse(response.Header.Get("X-Attempt"))
	assert.NilError(t, err)
	assert.Equal(t, len(response.Header[call.HeaderAttempt]), 0)
}

// Guards against a call that is taken for an announcement of the upstream or a control message of a node
// because of its path or what its caller says of an attempt.
func TestCallIsNotTakenForAMessage(t *testing.T) {
	f := newFleet(t, nil)
	address := startUpstream(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	n := f.add("", "", nil)
	f.add("ledger", address, nil)
	for _, path := range []string{"/mustardwing/v1/upstream", "/mustardwing.peer.v1.PeerService/Sync"} {
		for _, listener := range []string{n.callerAddress, n.loopbackAddress} {
			for _, connection := range []string{"keep-alive", call.HeaderAttempt} {
				r := newRequest(t, http.MethodDelete, listener, "ledger", "")
				r.URL.Path, r.URL.RawQuery = path, ""
				r.Header.Set(call.HeaderService, "ledger")
				r.Header.Set("Connection", connection)
				response, err := newCaller(t).Do(r)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), path, "%d", response.StatusCode)
			}
		}
	}
}

// Guards against an announcement that is applied although one of its fields is
// invalid, and against an error that does not name the field.
func TestAnnouncement(t *testing.T) {
	f := newFleet(t, nil)
	n := f.add("", "", nil)
	put := func(body string) *http.Response {
		r, err := http.NewRequest(http.MethodPut, "http://"+n.loopbackAddress+"/mustardwing/v1/upstream", strings.NewReader(body))
		assert.NilError(t, err)
		response, err := newCaller(t).Do(r)
		assert.NilError(t, err)
		return response
	}
	refused := put(`{"service": "search", "address": "127.0.0.1:9000", "slots": 35, "max_connections": 3, "ready": true}`)
	detail, err := io.ReadAll(refused.Body)
	assert.NilError(t, err)
	assert.Equal(t, refused.StatusCode, http.StatusBadRequest)
	assert.Assert(t, strings.Contains(string(detail), "max_connections"))
	assert.Assert(t, !n.upstream.State().Announced)
	accepted := put(`{"service": "search", "address": "127.0.0.1:9000", "slots": 35, "max_connections": 300, "ready": true}`)
	assert.Equal(t, accepted.StatusCode, http.StatusNoContent)
	assert.Equal(t, n.upstream.State().Slots, 35)
}
