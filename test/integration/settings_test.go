package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/test/fleet"
)

// revisionMonitor polls the settings revision in force at nodes and records every
// decrease.
type revisionMonitor struct {
	stop    chan struct{}
	pollers sync.WaitGroup

	mu sync.Mutex
	// decreases describes each decrease, changes counts all changes.
	decreases []string
	changes   int
}

func newRevisionMonitor() *revisionMonitor {
	return &revisionMonitor{stop: make(chan struct{})}
}

// poll starts to poll a node, until stopAndCheck is called. Polls without a response are
// ignored.
func (m *revisionMonitor) poll(n *fleet.Node) {
	m.pollers.Go(func() {
		var last int64
		for {
			if status, err := n.Status(); err == nil {
				m.record(n.Name, last, status.SettingsRevision)
				last = status.SettingsRevision
			}
			if waitUnlessStopped(m.stop, 20*time.Millisecond) {
				return
			}
		}
	})
}

func (m *revisionMonitor) record(node string, last, now int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now != last {
		m.changes++
	}
	if now < last {
		m.decreases = append(m.decreases, fmt.Sprintf("%s: %d after %d", node, now, last))
	}
}

// stopAndCheck stops the pollers and asserts that no revision decreased.
func (m *revisionMonitor) stopAndCheck(t *testing.T) {
	t.Helper()
	close(m.stop)
	m.pollers.Wait()
	assert.Equal(t, len(m.decreases), 0, "%v", m.decreases)
	t.Logf("%d changes of the revision in force seen, none to a lower one", m.changes)
}

// waitForLatestRevision waits until the latest revision in the store is in force at
// the nodes and returns it.
func waitForLatestRevision(t *testing.T, f *fleet.Fleet, nodes ...*fleet.Instance) int64 {
	t.Helper()
	last, err := f.SettingsRevision()
	assert.NilError(t, err)
	for _, instance := range nodes {
		assert.NilError(t, instance.Node.WaitForRevision(context.Background(), last))
	}
	return last
}

// Guards against an accepted edit that is lost or recorded twice, a conflict that is
// not reported, a revision in force that decreases, and a node that does not reach the
// latest revision. Two operators edit at the same time, first while one node starts
// and another is paused, then while the platform loses responses to writes. Then the
// platform is unavailable and another node starts.
func TestAcceptedSettingsStayInForce(t *testing.T) {
	d := chainDeployment()
	d.Services[0].Instances = 2
	f := startFleet(t, d)
	monitor := newRevisionMonitor()
	for _, instance := range f.Instances("") {
		monitor.poll(instance.Node)
	}
	ana, ivo := &operator{fleet: f, name: "ana"}, &operator{fleet: f, name: "ivo"}

	paused := f.Instances("search")[0]
	assert.NilError(t, paused.Node.Pause())
	var starting sync.WaitGroup
	starting.Go(func() { addMonitoredInstance(t, f, monitor) })
	editConcurrently("default", ana, ivo)
	starting.Wait()
	assert.NilError(t, paused.Node.Resume())
	waitForLatestRevision(t, f, f.Instances("")...)
	accepted, conflicts, unknown := checkEdits(t, f, "default", ana, ivo)
	t.Logf("no platform fault: %d accepted, %d conflicts", accepted, conflicts)
	assert.Assert(t, accepted >= 8 && unknown == 0)

	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{LostResponseFraction: 0.5}))
	editConcurrently("service/search", ana, ivo)
	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{}))
	accepted, conflicts, unknown = checkEdits(t, f, "service/search", ana, ivo)
	t.Logf("responses lost: %d accepted, %d conflicts, %d unknown", accepted, conflicts, unknown)
	assert.Assert(t, accepted > 0)

	last := waitForLatestRevision(t, f, f.Instances("")...)
	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{Outage: true}))
	unavailable := ana.set("service/history", "timeout", "3s")
	assert.Equal(t, unavailable.exit, exitUnavailable, unavailable.output)
	joined := addMonitoredInstance(t, f, monitor)
	assert.NilError(t, joined.Node.WaitForRevision(context.Background(), last), "a node that starts during the outage")

	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{}))
	assert.Equal(t, ivo.set("service/history", "timeout", "4s").exit, exitOK)
	waitForLatestRevision(t, f, f.Instances("")...)
	monitor.stopAndCheck(t)
}

// addMonitoredInstance adds an instance and starts to poll its revision.
func addMonitoredInstance(t *testing.T, f *fleet.Fleet, monitor *revisionMonitor) *fleet.Instance {
	t.Helper()
	instance, err := f.AddInstance(context.Background(), f.Deployment.Services[1])
	assert.Check(t, err)
	if err == nil {
		monitor.poll(instance.Node)
	}
	return instance
}
