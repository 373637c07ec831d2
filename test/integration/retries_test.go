package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/test/fleet"
)

// allowedRetries is the number of retries that the settings allow for a root request.
const allowedRetries = 3

// failingChain returns a chain of four services, of which the last fails every call.
func failingChain(policy string) fleet.Deployment {
	service := func(name string, instances int, nestedCalls ...string) fleet.ServiceSpec {
		return fleet.ServiceSpec{
			Name: name, Instances: instances, Slots: 50, Connections: 200, ServiceTime: time.Millisecond,
			NestedCalls: nestedCalls, Fails: len(nestedCalls) == 0,
		}
	}
	return fleet.Deployment{
		Region:         "ro",
		FailureDomains: []string{"ro-a", "ro-b"},
		Services: []fleet.ServiceSpec{
			service("search", 1, "payments"), service("payments", 1, "photos"), service("photos", 1, "history"), service("history", 2),
		},
		Policy: policy,
		Settings: map[string]string{
			"settings/default": fleet.ScopeObject(fleet.Overrides{"timeout": "8s", "ramp_up": "0s", "retries": allowedRetries}),
		},
	}
}

// executionsPerRequest sends root requests one after the other and returns the
// lowest and the highest number of executions at the last service for one request.
func executionsPerRequest(t *testing.T, policy string, requests int) (lowest, highest int) {
	t.Helper()
	f := startFleet(t, failingChain(policy))
	defer f.Stop()
	for i := range requests {
		r := send(request{target: f.CallerURLs()[0], method: http.MethodGet, service: "search", kind: "lookup", testID: fmt.Sprint(i)})
		assert.NilError(t, r.err)
		assert.Assert(t, r.status != http.StatusOK)
	}
	ran := executions(t, f, "history")
	lowest = ran["0"]
	for i := range requests {
		lowest, highest = min(lowest, ran[fmt.Sprint(i)]), max(highest, ran[fmt.Sprint(i)])
	}
	t.Logf("policy %s: %d to %d executions at the last service for one root request", policy, lowest, highest)
	return lowest, highest
}

// Guards against retries that multiply from hop to hop, because each service of a chain
// retries the failures of the next one. The same chain without overload control is the
// baseline: it shows that the retries multiply there, and its number of executions is
// logged for comparison.
func TestRetriesStayBoundedAcrossTheChain(t *testing.T) {
	lowest, highest := executionsPerRequest(t, "full", 20)
	assert.Assert(t, lowest >= 1, "a request did not reach the last service")
	assert.Assert(t, highest <= 1+allowedRetries, "%d executions", highest)
	_, baseline := executionsPerRequest(t, "none", 1)
	assert.Assert(t, baseline > 1+allowedRetries, "retries do not multiply in the baseline, so the check proves nothing")
}
