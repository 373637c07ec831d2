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

// domainReportJSON returns the report of a failure domain with one service of two nodes,
// whose lowest revision is lowest. more continues the JSON of that service.
func domainReportJSON(domain string, written time.Time, lowest int64, more string) string {
	return fmt.Sprintf(`{"failure_domain":%q,"written":%q,"nodes":2,"services":[{"service":"a","nodes":2,"lowest_revision":%d,"highest_revision":9%s}`,
		domain, written.UTC().Format(time.RFC3339), lowest, orListEnd(more))
}

// orListEnd returns the end of the list of services if the text is empty.
func orListEnd(more string) string {
	if more == "" {
		return "}]"
	}
	return more
}

// runWait runs wait -revision 5 while the function changes alters the store, and returns
// the exit status and the error output. At the start failure domain ro-b is behind.
func runWait(t *testing.T, changes func(store *platformtest.Store)) (int, string) {
	var status int
	var stderr string
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		p := newTestApp(store)
		p.Now = time.Now
		put(t, store, "status/ro-a", domainReportJSON("ro-a", time.Now(), 5, ""))
		put(t, store, "status/ro-b", domainReportJSON("ro-b", time.Now(), 4, ""))
		go changes(store)
		status, _, stderr = p.run("wait", "-revision", "5", "-timeout", "90s")
		synctest.Wait()
	})
	return status, stderr
}

// Guards against a wait that ends before the last failure domain has the revision,
// that misses a report, or that fails during an outage of the platform.
func TestWaitEndsWithTheLastDomain(t *testing.T) {
	status, stderr := runWait(t, func(store *platformtest.Store) {
		time.Sleep(10 * time.Second)
		store.SetFaults(platformtest.Faults{Outage: true})
		time.Sleep(10 * time.Second)
		store.SetFaults(platformtest.Faults{})
		put(t, store, "settings/default", `{"overrides":{}}`)
		store.Compact()
		time.Sleep(10 * time.Second)
		put(t, store, "status/ro-b", domainReportJSON("ro-b", time.Now(), 5, ""))
	})
	assert.Equal(t, status, 0, stderr)
}

// Guards against a wait that reports success although a node is behind, is
// unreachable, refuses the change, or is missing from a report that is incomplete
// or out of date.
func TestWaitReportsProblems(t *testing.T) {
	cases := []struct {
		more string
		age  time.Duration
		want string
	}{
		{`}],"summaries":[{"id":"n1","service":"a","settings_revision":4}]`, 0, "node n1 of a is behind, revision 4"},
		{`}],"unreachable":[{"id":"n1","service":"a","settings_revision":9}]`, 0, "node n1 of a is unreachable, revision 9"},
		{`}],"summaries":[{"id":"n1","service":"a","settings_revision":6,"settings_error":"401"}]`, 0, "node n1 of a refuses an object of the settings, revision 6: 401"},
		{`,"refusing":1}]`, 0, "1 nodes of a refuse an object"},
		{`}],"omitted":3`, 0, "3 services did not fit"},
		{``, 2 * time.Minute, "failure domain ro-b: no report since"},
	}
	for _, c := range cases {
		status, stderr := runWait(t, func(store *platformtest.Store) {
			put(t, store, "status/ro-b", domainReportJSON("ro-b", time.Now().Add(-c.age), 5, c.more))
		})
		assert.Equal(t, status, 7, stderr)
		assert.Assert(t, strings.Contains(stderr, c.want), stderr)
	}
	status, stderr := runWait(t, func(*platformtest.Store) {})
	assert.Equal(t, status, 7)
	assert.Assert(t, strings.Contains(stderr, "failure domain ro-b: a is behind, revision 4 of 5"), stderr)
}

// Guards against success without any report, and against a wait that makes more
// platform calls than one watch per poll interval requires.
func TestWaitWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		p := newTestApp(store)
		p.mustRun(t, "set", "default", "retries=1", "-reason", "x")
		before := store.Counts().Reads()
		status, _, stderr := p.run("wait", "-timeout", "1h")
		assert.Equal(t, status, 7)
		assert.Assert(t, strings.Contains(stderr, "revision 1 is not in force everywhere\n  no node has reported yet"), stderr)
		reads := store.Counts().Reads() - before
		assert.Assert(t, reads < 150, "%d reads in an hour of polls of %s", reads, platformtest.DefaultPollTimeout)
	})
}
