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

// revisionWatch polls the revision in force at nodes and keeps every fall.
type revisionWatch struct {
	stop    chan struct{}
	polls   sync.WaitGroup
	mu      sync.Mutex
	falls   []string
	changes int
}

func newRevisionWatch() *revisionWatch {
	return &revisionWatch{stop: make(chan struct{})}
}

func (w *revisionWatch) follow(n *fleet.Node) {
	w.polls.Go(func() {
		var last int64
		for {
			if status, err := n.Status(); err == nil {
				w.note(n.Name, last, status.SettingsRevision)
				last = status.SettingsRevision
			}
			if pause(w.stop, 20*time.Millisecond) {
				return
			}
		}
	})
}

func (w *revisionWatch) note(node string, last, now int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now != last {
		w.changes++
	}
	if now < last {
		w.falls = append(w.falls, fmt.Sprintf("%s: %d after %d", node, now, last))
	}
}

// end stops the polls and asserts that no revision fell.
func (w *revisionWatch) end(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.polls.Wait()
	assert.Equal(t, len(w.falls), 0, "%v", w.falls)
	t.Logf("%d changes of the revision in force seen, none to a lower one", w.changes)
}

// waitForLast waits until the last revision is in force at the nodes.
func waitForLast(t *testing.T, f *fleet.Fleet, nodes ...*fleet.Instance) int64 {
	t.Helper()
	last, err := f.SettingsRevision()
	assert.NilError(t, err)
	for _, i := range nodes {
		assert.NilError(t, i.Node.WaitForRevision(context.Background(), last))
	}
	return last
}

// Guards against an accepted edit that is lost or recorded twice, a conflict that
// is not reported, a revision in force that falls, and a node that stays behind:
// while operators race, a node starts and another one is paused, the platform
// loses the answers of writes and is then away, and a node starts meanwhile.
func TestAcceptedSettingsStayInForce(t *testing.T) {
	d := chain()
	d.Services[0].Instances = 2
	f := startFleet(t, d)
	watch := newRevisionWatch()
	for _, i := range f.Instances("") {
		watch.follow(i.Node)
	}
	ana, ivo := &operator{fleet: f, name: "ana"}, &operator{fleet: f, name: "ivo"}

	paused := f.Instances("search")[0]
	assert.NilError(t, paused.Node.Pause())
	var starting sync.WaitGroup
	starting.Go(func() { addFollowed(t, f, watch) })
	race("default", ana, ivo)
	starting.Wait()
	assert.NilError(t, paused.Node.Resume())
	waitForLast(t, f, f.Instances("")...)
	accepted, conflicts, unclear := checkEdits(t, f, "default", ana, ivo)
	t.Logf("no platform fault: %d accepted, %d conflicts", accepted, conflicts)
	assert.Assert(t, accepted >= 8 && unclear == 0)

	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{LostResponseFraction: 0.5}))
	race("service/search", ana, ivo)
	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{}))
	accepted, conflicts, unclear = checkEdits(t, f, "service/search", ana, ivo)
	t.Logf("answers lost: %d accepted, %d conflicts, %d unclear", accepted, conflicts, unclear)
	assert.Assert(t, accepted > 0)

	last := waitForLast(t, f, f.Instances("")...)
	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{Outage: true}))
	refused := ana.set("service/history", "timeout", "3s")
	assert.Equal(t, refused.exit, exitUnavailable, refused.output)
	late := addFollowed(t, f, watch)
	assert.NilError(t, late.Node.WaitForRevision(context.Background(), last), "a node that starts during the outage")

	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{}))
	assert.Equal(t, ivo.set("service/history", "timeout", "4s").exit, exitDone)
	waitForLast(t, f, f.Instances("")...)
	watch.end(t)
}

// addFollowed adds an instance and polls its revision.
func addFollowed(t *testing.T, f *fleet.Fleet, watch *revisionWatch) *fleet.Instance {
	t.Helper()
	instance, err := f.AddInstance(context.Background(), f.Deployment.Services[1])
	assert.Check(t, err)
	if err == nil {
		watch.follow(instance.Node)
	}
	return instance
}
