package integration

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/standin/upstream"
)

// Guards against a chain that is answered in part, by the wrong service, or
// without the headers that callers rely on, whichever node takes the call.
func TestChainIsAnsweredFromEveryNode(t *testing.T) {
	f := startFleet(t, chain())
	for _, target := range f.CallerURLs() {
		r := send(request{target: target, method: http.MethodGet, service: "search", kind: "lookup", testID: target})
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, "%s: %s", r.code, r.body)
		var answer upstream.Response
		assert.NilError(t, json.Unmarshal(r.body, &answer))
		assert.Equal(t, answer.TestID, target)
		assert.Equal(t, len(answer.Path), 2)
		assert.Equal(t, r.code, "0")
		assert.Equal(t, r.run, "yes")
		assert.Assert(t, r.header.Get("Mustardwing-Request-Id") != "")
	}
}

// Guards against refusals that callers cannot tell apart or that say "run".
func TestBadRequestsGetNumberedRefusals(t *testing.T) {
	f := startFleet(t, chain())
	target := f.CallerURLs()[0]
	unknown := send(request{target: target, method: http.MethodGet, service: "nowhere", kind: "lookup", testID: "u"})
	assert.Equal(t, unknown.code+" "+unknown.run, "105 no")
	key := send(request{target: target, method: http.MethodPost, service: "search", kind: "charge", testID: "k", key: "not-a-key"})
	assert.Equal(t, key.code+" "+key.run, "111 no")
	assert.Equal(t, len(executions(t, f, "search")), 0)
}
