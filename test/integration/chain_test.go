package integration

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/standin/upstream"
)

// Guards against a node from which a call to the chain fails, or which returns the
// response of another call, skips the nested call or leaves out the headers that callers
// rely on.
func TestChainSucceedsFromEveryNode(t *testing.T) {
	f := startFleet(t, chainDeployment())
	for _, target := range f.CallerURLs() {
		r := send(request{target: target, method: http.MethodGet, service: "search", kind: "lookup", testID: target})
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, "%s: %s", r.code, r.body)
		var got upstream.Response
		assert.NilError(t, json.Unmarshal(r.body, &got))
		assert.Equal(t, got.TestID, target)
		assert.Equal(t, len(got.Path), 2)
		assert.Equal(t, r.code, "0")
		assert.Equal(t, r.run, "yes")
		assert.Assert(t, r.header.Get("Mustardwing-Request-Id") != "")
	}
}

// Guards against refusals that have no distinct code or report the call as run.
func TestInvalidRequestsGetRefusalCodes(t *testing.T) {
	f := startFleet(t, chainDeployment())
	target := f.CallerURLs()[0]
	unknown := send(request{target: target, method: http.MethodGet, service: "nowhere", kind: "lookup", testID: "u"})
	assert.Equal(t, unknown.code+" "+unknown.run, "105 no")
	key := send(request{target: target, method: http.MethodPost, service: "search", kind: "charge", testID: "k", key: "not-a-key"})
	assert.Equal(t, key.code+" "+key.run, "111 no")
	assert.Equal(t, len(executions(t, f, "search")), 0)
}
