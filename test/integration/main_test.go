// Package integration tests fleets of the real programs, run as processes, under
// faults and overload.
package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/standin/upstream"
	"github.com/mustardwing/mustardwing/test/fleet"
)

// binDir holds the programs that the tests run.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs, runs the tests and returns the exit status.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mustardwing-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...", "../../standin/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// chainDeployment returns a deployment with the full policy and two services: search,
// which calls history, and history. The call kinds cover the cases of the tests: lookup,
// of normal priority, and charge, critical and non-idempotent.
func chainDeployment() fleet.Deployment {
	kinds := []fleet.KindOverrides{
		{Name: "lookup", Overrides: fleet.Overrides{"priority": "normal"}},
		{Name: "charge", Overrides: fleet.Overrides{"priority": "critical", "idempotent": "no"}},
	}
	return fleet.Deployment{
		Region:         "ro",
		FailureDomains: []string{"ro-a", "ro-b", "ro-c"},
		Services: []fleet.ServiceSpec{
			{Name: "search", Instances: 3, Slots: 20, Connections: 200, ServiceTime: 5 * time.Millisecond, NestedCalls: []string{"history"}},
			{Name: "history", Instances: 2, Slots: 20, Connections: 200, ServiceTime: 5 * time.Millisecond},
		},
		Policy: "full",
		Settings: map[string]string{
			"settings/default":         fleet.ScopeObject(fleet.Overrides{"timeout": "5s", "ramp_up": "0s"}),
			"settings/service/search":  fleet.ScopeObject(nil, kinds...),
			"settings/service/history": fleet.ScopeObject(nil, kinds...),
		},
	}
}

// startFleet starts a fleet that is stopped at the end of the test. If the test failed,
// the nodes' logs are added to its output.
func startFleet(t *testing.T, d fleet.Deployment) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(context.Background(), binDir, t.TempDir(), d)
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			for _, instance := range f.Instances("") {
				t.Logf("%s:\n%s", instance.Node.Name, instance.Node.Log())
			}
		}
		f.Stop()
	})
	return f
}

// response is the result of one attempt as the caller sees it.
type response struct {
	status int
	// code is the result code, run the execution outcome: "yes", "no" or "unknown".
	code   string
	run    string
	body   []byte
	header http.Header
	// err is set when no complete response arrived.
	err error
}

// request is one attempt. Empty optional fields leave out their headers.
type request struct {
	// target is the base URL of a caller listener. key is the idempotency key; it is
	// optional.
	target, method, service, kind, testID, key string
	// query starts with a question mark.
	query string
	// traceparent is the value of the header of that name; it is optional.
	traceparent string
	body        io.Reader
}

var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}

// send sends one attempt and waits for the complete response.
func send(r request) response {
	req, err := http.NewRequest(r.method, r.target+"/"+r.kind+r.query, r.body)
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Mustardwing-Service", r.service)
	req.Header.Set("Mustardwing-Kind", r.kind)
	req.Header.Set(upstream.HeaderTestID, r.testID)
	if r.key != "" {
		req.Header.Set("Mustardwing-Key", r.key)
	}
	if r.traceparent != "" {
		req.Header.Set("Traceparent", r.traceparent)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode,
		code:   resp.Header.Get("Mustardwing-Code"),
		run:    resp.Header.Get("Mustardwing-Run"),
		body:   body,
		header: resp.Header,
		err:    err,
	}
}

// newKey returns a new idempotency key.
func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// executions counts how often the instances of a service started each request, by
// test ID. It reads the instances of the fleet only: the counts of an instance that
// KillInstance removes have to be read before.
func executions(t *testing.T, f *fleet.Fleet, service string) map[string]int {
	t.Helper()
	total := make(map[string]int)
	for _, instance := range f.Instances(service) {
		stats, err := instance.Stats()
		assert.NilError(t, err)
		for id, n := range stats.Executions {
			total[id] += n
		}
	}
	return total
}
