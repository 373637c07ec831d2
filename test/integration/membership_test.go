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

// instancesExcept returns the instances of the fleet without the excluded ones.
func instancesExcept(f *fleet.Fleet, excluded ...*fleet.Instance) []*fleet.Instance {
	return slices.DeleteFunc(f.Instances(""), func(i *fleet.Instance) bool { return slices.Contains(excluded, i) })
}

// listsInState returns a check that a member table lists all the instances in the
// state; alive ones also have to be usable.
func listsInState(state string, instances ...*fleet.Instance) func([]fleet.MemberView) bool {
	return func(members []fleet.MemberView) bool {
		found := 0
		for _, m := range members {
			for _, instance := range instances {
				if m.ID == instance.Node.Spec.ID && m.State == state && (state != "alive" || m.Usable()) {
					found++
				}
			}
		}
		return found == len(instances)
	}
}

// waitForState waits until the member table of each observer lists all the instances
// in the state.
func waitForState(t *testing.T, observers []*fleet.Instance, state string, instances ...*fleet.Instance) {
	t.Helper()
	assert.NilError(t, fleet.WaitForMemberTables(context.Background(), observers, listsInState(state, instances...)))
}

// incarnation returns the incarnation of a member as the member table of the observer's
// node lists it.
func incarnation(t *testing.T, observer *fleet.Instance, id string) uint64 {
	t.Helper()
	members, err := observer.Node.Members()
	assert.NilError(t, err)
	for _, m := range members {
		if m.ID == id {
			return m.Incarnation
		}
	}
	t.Fatalf("the member table of %s does not list %s", observer.Node.Name, id)
	return 0
}

// callUntilServed sends calls through the nodes of the other instances until the
// instance has served one. Every call has to succeed.
func callUntilServed(t *testing.T, f *fleet.Fleet, instance *fleet.Instance) {
	t.Helper()
	from := instancesExcept(f, instance)
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

// Guards against a member table that keeps a dead node as alive, does not list a node
// as alive again after a long pause, confuses a restarted node with the killed one at
// the same addresses, or is wrong after two of five nodes were replaced at the same
// time.
func TestMemberTableTracksPausedKilledAndReplacedNodes(t *testing.T) {
	d := chainDeployment()
	d.Services = []fleet.ServiceSpec{d.Services[1]}
	d.Services[0].Instances = 5
	f := startFleet(t, d)

	paused := f.Instances("")[0]
	assert.NilError(t, paused.Node.Pause())
	waitForState(t, instancesExcept(f, paused), "dead", paused)
	assert.NilError(t, paused.Node.Resume())
	waitForState(t, f.Instances(""), "alive", f.Instances("")...)

	killed := f.Instances("")[1]
	before := incarnation(t, paused, killed.Node.Spec.ID)
	f.KillInstance(killed)
	waitForState(t, f.Instances(""), "dead", killed)
	restarted, err := f.RestartInstance(killed)
	assert.NilError(t, err)
	assert.Equal(t, restarted.Node.Addresses, killed.Node.Addresses)
	waitForState(t, f.Instances(""), "alive", f.Instances("")...)
	for _, instance := range f.Instances("") {
		assert.Assert(t, incarnation(t, instance, killed.Node.Spec.ID) > before, "%s has the old incarnation", instance.Node.Name)
	}
	callUntilServed(t, f, restarted)

	replaced := f.Instances("")[:2]
	var wg sync.WaitGroup
	added := make([]*fleet.Instance, len(replaced))
	for n, instance := range replaced {
		wg.Go(func() {
			f.KillInstance(instance)
			var err error
			added[n], err = f.AddInstance(context.Background(), instance.Service)
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.Assert(t, !t.Failed())
	waitForState(t, f.Instances(""), "alive", f.Instances("")...)
	waitForState(t, f.Instances(""), "dead", replaced...)
	for _, instance := range added {
		callUntilServed(t, f, instance)
	}
}
