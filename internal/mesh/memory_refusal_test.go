package mesh

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Guards against a call that was refused for want of memory before its body was read, and that its
// caller or the calling node cannot tell from one that may have run.
func TestRefusalForWantOfMemoryIsNotRun(t *testing.T) {
	c := newCluster(t, nonIdempotent(), &testUpstream{handler: good})
	response := c.outbound.Refuse(newRequest("a"))
	assert.Equal(t, response.Status, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(call.HeaderRun), resultcode.NotRun.String())
	assert.Equal(t, response.Header.Get("Test-Id"), "a")
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	r := &h1.Request{Header: http.Header{}}
	hop{ID: "a", Instance: "i-0", Kind: "kind", Timeout: time.Second}.encode(r.Header)
	v := decodeOutcome(c.upstreams["i-0"].Refuse(r).Header)
	assert.Equal(t, v.Execution, resultcode.NotRun)
	assert.Equal(t, v.Code, resultcode.Overloaded)
	assert.Assert(t, !v.Reached)
}
