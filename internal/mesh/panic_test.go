package mesh

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an unexpected error in an attempt that runs beside its request, and ends the
// whole process: the call fails with an unknown outcome.
func TestPanicInAnAttemptFailsOnlyItsCall(t *testing.T) {
	route := idempotent()
	route.Objective = time.Second
	c := newCluster(t, route, &testUpstream{handler: good})
	peers := c.outbound.config.Peers
	address := serve(t, c.outbound)
	status := func() int {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/r/x", nil)
		assert.NilError(t, err)
		r.Host = "h"
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	c.outbound.config.Peers = nil // Makes each attempt panic.
	assert.Assert(t, status() >= http.StatusInternalServerError && status() != http.StatusServiceUnavailable)
	c.outbound.config.Peers = peers
	assert.Equal(t, status(), http.StatusOK)
}
