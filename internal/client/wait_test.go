package client

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

func reportAt(domain string, written time.Time, revision int64, problems string) string {
	return fmt.Sprintf(`{"failure_domain":%q,"written_at":%q,"services":[{"service":"a","instances":2,"revision_min":%d,"revision_max":9}],"problems":[%s]}`,
		domain, written.UTC().Format(time.RFC3339), revision, problems)
}

// waitFor runs wait -revision 5 while the reports change.
func waitFor(t *testing.T, changes func(store *platformtest.Store)) (int, string) {
	var status int
	var stderr string
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		p := newProgram(store)
		p.Now = time.Now
		put(t, store, "status/ro-a", reportAt("ro-a", time.Now(), 5, ""))
		put(t, store, "status/ro-b", reportAt("ro-b", time.Now(), 4, ""))
		go changes(store)
		status, _, stderr = p.run("wait", "-revision", "5", "-timeout", "90s")
		synctest.Wait()
	})
	return status, stderr
}

// Guards against a wait that ends before the last domain has the revision, that
// does not notice a report, or that gives up during an outage.
func TestWaitEndsWithTheLastDomain(t *testing.T) {
	status, stderr := waitFor(t, func(store *platformtest.Store) {
		time.Sleep(10 * time.Second)
		store.SetFaults(platformtest.Faults{Outage: true})
		time.Sleep(10 * time.Second)
		store.SetFaults(platformtest.Faults{})
		put(t, store, "settings/default", `{"overrides":{}}`)
		store.Compact()
		time.Sleep(10 * time.Second)
		put(t, store, "status/ro-b", reportAt("ro-b", time.Now(), 5, ""))
	})
	assert.Equal(t, status, 0, stderr)
}

// Guards against a wait that reports success although a node is behind, cannot
// be reached, refuses the change, or has not been heard of.
func TestWaitNamesWhatIsMissing(t *testing.T) {
	cases := []struct {
		problem string
		age     time.Duration
		want    string
	}{
		{`{"node":"n1","service":"a","state":"behind","revision":4}`, 0, "node n1 of a is behind, revision 4"},
		{`{"node":"n1","service":"a","state":"unreachable","revision":2}`, 0, "node n1 of a is unreachable"},
		{`{"node":"n1","service":"a","state":"refused","revision":6,"detail":"401"}`, 0, "node n1 of a refuses an object"},
		{``, 2 * time.Minute, "failure domain ro-b: no report since"},
	}
	for _, c := range cases {
		status, stderr := waitFor(t, func(store *platformtest.Store) {
			put(t, store, "status/ro-b", reportAt("ro-b", time.Now().Add(-c.age), 5, c.problem))
		})
		assert.Equal(t, status, 7, stderr)
		assert.Assert(t, strings.Contains(stderr, c.want), stderr)
	}
	status, stderr := waitFor(t, func(*platformtest.Store) {})
	assert.Equal(t, status, 7)
	assert.Assert(t, strings.Contains(stderr, "failure domain ro-b: a node of a has revision 4"), stderr)
}

// Guards against success without any report, and against calls to the platform
// that grow with the time waited.
func TestWaitWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		p := newProgram(store)
		p.mustRun(t, "set", "default", "retries=1", "-reason", "x")
		before := store.Counts().Reads()
		status, _, stderr := p.run("wait", "-timeout", "1h")
		assert.Equal(t, status, 7)
		assert.Assert(t, strings.Contains(stderr, "revision 1 is not in force everywhere\n  no node has reported yet"), stderr)
		reads := store.Counts().Reads() - before
		assert.Assert(t, reads < 150, "%d reads in an hour of polls of %s", reads, platformtest.DefaultPoll)
	})
}
