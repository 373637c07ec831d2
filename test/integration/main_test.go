// Package integration runs the real programs as processes and breaks them.
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

var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

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

// chain is a deployment of two services with two instances each, whose kinds
// cover the cases of the tests.
func chain() fleet.Deployment {
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

func startFleet(t *testing.T, d fleet.Deployment) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(context.Background(), binDir, t.TempDir(), d)
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			for _, i := range f.Instances("") {
				t.Logf("%s:\n%s", i.Node.Name, i.Node.Log())
			}
		}
		f.Stop()
	})
	return f
}

// reply is what a caller got for one attempt.
type reply struct {
	status int
	code   string
	run    string
	body   []byte
	header http.Header
	// err is set when no complete response arrived.
	err error
}

type request struct {
	target, method, service, kind, testID, key string
	// query starts with a question mark.
	query       string
	traceparent string
	body        io.Reader
}

var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}

func send(r request) reply {
	req, err := http.NewRequest(r.method, r.target+"/"+r.kind+r.query, r.body)
	if err != nil {
		return reply{err: err}
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
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode,
		code:   resp.Header.Get("Mustardwing-Code"),
		run:    resp.Header.Get("Mustardwing-Run"),
		body:   body,
		header: resp.Header,
		err:    err,
	}
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// executions counts how often the instances of a service started each request.
// Instances that were killed are read before.
func executions(t *testing.T, f *fleet.Fleet, service string) map[string]int {
	t.Helper()
	total := make(map[string]int)
	for _, i := range f.Instances(service) {
		stats, err := i.Stats()
		assert.NilError(t, err)
		for id, n := range stats.Executions {
			total[id] += n
		}
	}
	return total
}
