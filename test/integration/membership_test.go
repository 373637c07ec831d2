package integration

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/test/fleet"
)

// others returns the instances without some of them.
func others(f *fleet.Fleet, without ...*fleet.Instance) []*fleet.Instance {
	return slices.DeleteFunc(f.Instances(""), func(i *fleet.Instance) bool { return slices.Contains(without, i) })
}

// seenAs tells whether a members table holds all the instances in a state; alive
// ones also have to be usable.
func seenAs(state string, instances ...*fleet.Instance) func([]fleet.MemberView) bool {
	return func(members []fleet.MemberView) bool {
		found := 0
		for _, m := range members {
			for _, i := range instances {
				if m.ID == i.Node.Spec.ID && m.State == state && (state != "alive" || m.Usable()) {
					found++
				}
			}
		}
		return found == len(instances)
	}
}

func waitUntilSeen(t *testing.T, by []*fleet.Instance, state string, instances ...*fleet.Instance) {
	t.Helper()
	assert.NilError(t, fleet.WaitForMemberTables(context.Background(), by, seenAs(state, instances...)))
}

func incarnation(t *testing.T, at *fleet.Instance, id string) uint64 {
	t.Helper()
	members, err := at.Node.Members()
	assert.NilError(t, err)
	for _, m := range members {
		if m.ID == id {
			return m.Incarnation
		}
	}
	t.Fatalf("%s does not know %s", at.Node.Name, id)
	return 0
}

// callUntilServed sends calls at nodes other than the instance's until it has
// served one; each call has to succeed.
func callUntilServed(t *testing.T, f *fleet.Fleet, instance *fleet.Instance) {
	t.Helper()
	from := others(f, instance)
	const limit = 2000
	for i := range limit {
		target := "http://" + from[i%len(from)].Node.Addresses.Caller
		r := send(request{target: target, method: http.MethodGet, service: instance.Service.Name, kind: "lookup", testID: fmt.Sprint(i)})
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, "code %s: %s", r.code, r.body)
		stats, err := instance.Stats()
		assert.NilError(t, err)
		if stats.Started > 0 {
			return
		}
	}
	t.Fatalf("%s served none of %d calls", instance.Node.Name, limit)
}

// Guards against a members table that keeps a dead node, does not take back one
// that was paused for long, mistakes a restarted node for the one that was killed
// at the same addresses, or loses track when a third of the nodes is replaced.
func TestMembersFollowPausedKilledAndReplacedNodes(t *testing.T) {
	d := chain()
	d.Services = []fleet.ServiceSpec{d.Services[1]}
	d.Services[0].Instances = 5
	f := startFleet(t, d)

	paused := f.Instances("")[0]
	assert.NilError(t, paused.Node.Pause())
	waitUntilSeen(t, others(f, paused), "dead", paused)
	assert.NilError(t, paused.Node.Resume())
	waitUntilSeen(t, f.Instances(""), "alive", f.Instances("")...)

	killed := f.Instances("")[1]
	before := incarnation(t, paused, killed.Node.Spec.ID)
	f.KillInstance(killed)
	waitUntilSeen(t, f.Instances(""), "dead", killed)
	restarted, err := f.RestartInstance(killed)
	assert.NilError(t, err)
	assert.Equal(t, restarted.Node.Addresses, killed.Node.Addresses)
	waitUntilSeen(t, f.Instances(""), "alive", f.Instances("")...)
	for _, i := range f.Instances("") {
		assert.Assert(t, incarnation(t, i, killed.Node.Spec.ID) > before, "%s has the old incarnation", i.Node.Name)
	}
	callUntilServed(t, f, restarted)

	leaving := f.Instances("")[:2]
	var wg sync.WaitGroup
	added := make([]*fleet.Instance, len(leaving))
	for n, i := range leaving {
		wg.Go(func() {
			f.KillInstance(i)
			var err error
			added[n], err = f.AddInstance(context.Background(), i.Service)
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.Assert(t, !t.Failed())
	waitUntilSeen(t, f.Instances(""), "alive", f.Instances("")...)
	waitUntilSeen(t, f.Instances(""), "dead", leaving...)
	for _, i := range added {
		callUntilServed(t, f, i)
	}
}
