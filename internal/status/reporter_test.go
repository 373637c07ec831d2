package status_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/membership/membershiptest"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/status"
)

// domainMembers is a failure domain as the node self sees it. Its first two nodes are
// the reporters.
type domainMembers struct {
	self  membership.Member
	nodes []membership.Member
}

func (d *domainMembers) Holds(membership.Role) bool {
	return slices.ContainsFunc(d.Holders("", ""), func(m membership.Member) bool { return m.ID == d.self.ID })
}

func (d *domainMembers) Holders(membership.Role, string) []membership.Member {
	return d.nodes[:min(2, len(d.nodes))]
}

func (d *domainMembers) DomainSize(string) int   { return len(d.nodes) }
func (d *domainMembers) Self() membership.Member { return d.self }

// startDomain starts a failure domain of size nodes and returns a function that
// closes their reporters.
func startDomain(t *testing.T, store platform.Store, size, maxBytes int) func() {
	net := membershiptest.NewNetwork(1, membershiptest.Faults{MinDelay: time.Millisecond, MaxDelay: time.Millisecond})
	var nodes []membership.Member
	for i := range size {
		name := fmt.Sprintf("h%04d", i)
		nodes = append(nodes, membership.Member{ID: name, FailureDomain: "ro-a", Region: "ro", Addresses: membership.Addresses{Peer: name}})
	}
	var reporters []*status.Reporter
	for i, node := range nodes {
		r, err := status.New(status.Config{
			Store: store, Members: &domainMembers{self: node, nodes: nodes}, Client: net.Client(node.ID),
			RandomSeed: uint64(i + 1), MaxBytes: maxBytes,
			LocalSummary: func() status.Summary {
				return status.Summary{Service: fmt.Sprintf("s%d", i%7), Slots: 10, Running: 1, SettingsRevision: int64(100 + i)}
			},
		})
		assert.NilError(t, err)
		net.Serve(node.ID, node.ID, &handler{reporter: r})
		r.Start()
		reporters = append(reporters, r)
	}
	return func() {
		for _, r := range reporters {
			_ = r.Close()
		}
	}
}

func readReport(t *testing.T, store platform.Store) status.DomainReport {
	t.Helper()
	reports, err := status.Read(context.Background(), store)
	assert.NilError(t, err)
	assert.Equal(t, len(reports), 1)
	return reports[0]
}

// TestReportIncludesEveryNode guards against nodes missing from the report of a small
// failure domain, and against writes that are too frequent.
func TestReportIncludesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := membershiptest.NewStore(time.Millisecond)
		defer startDomain(t, store, 7, 0)()
		time.Sleep(time.Minute)
		report := readReport(t, store)
		assert.Equal(t, len(report.Summaries), 7)
		assert.Equal(t, report.Nodes, 7)
		assert.Assert(t, time.Since(report.Written) <= 15*time.Second)
		store.ResetCalls()
		time.Sleep(10 * time.Minute)
		t.Logf("%d writes in 10 min", store.Calls("Update"))
		assert.Assert(t, store.Calls("Update") <= 2*60)
	})
}

// TestReportSize guards against a report that exceeds the size of a store object: a
// large failure domain is summed up by service, with as many summaries of single nodes
// as fit, and its report is written no more often than that of a small one.
func TestReportSize(t *testing.T) {
	const limit = 8192
	synctest.Test(t, func(t *testing.T) {
		store := membershiptest.NewStore(time.Millisecond)
		defer startDomain(t, store, 600, limit)()
		time.Sleep(3 * time.Minute)
		listing, err := store.List(context.Background(), status.Prefix)
		assert.NilError(t, err)
		assert.Assert(t, len(listing.Objects[0].Value) <= limit)
		report := readReport(t, store)
		assert.Equal(t, report.Nodes, 600)
		assert.Equal(t, len(report.Services), 7)
		assert.Assert(t, len(report.Summaries) > 0 && len(report.Summaries) < 600)
		nodes, running := 0, 0
		for _, service := range report.Services {
			nodes += service.Nodes
			running += service.Running
		}
		assert.Equal(t, nodes, 600)
		assert.Equal(t, running, 600)
		store.ResetCalls()
		time.Sleep(10 * time.Minute)
		assert.Assert(t, store.Calls("Update") <= 2*60)
	})
}

// TestReportAfterOutage guards against reporters that overload an unavailable store
// with writes, and against reports that stay outdated once it is available again.
func TestReportAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := membershiptest.NewStore(time.Millisecond)
		store.SetOutage(true)
		defer startDomain(t, store, 7, 0)()
		time.Sleep(time.Hour)
		t.Logf("%d attempted writes in one hour", store.Calls("Update"))
		assert.Assert(t, store.Calls("Update") <= 2*40)
		store.SetOutage(false)
		time.Sleep(3 * time.Minute)
		assert.Equal(t, readReport(t, store).Nodes, 7)
	})
}
