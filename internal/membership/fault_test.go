package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/membership/membershiptest"
)

// deploymentSize is the number of instances of each current deployment.
const deploymentSize = 28

var lossy = membershiptest.Faults{Loss: 0.05, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond}

// TestDrainReachesAll guards against a drain update that reaches some nodes late because
// packets were lost: at 5 % loss, all nodes must learn of a drain within 2 s, since an
// upstream must get no new calls later than 3 s after its drain begins.
func TestDrainReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 11, deploymentSize, nil)
		defer f.stopAll()
		for _, h := range f.hosts {
			f.start(h, false)
		}
		f.converge(convergenceLimit)
		f.net.SetFaults(lossy)
		worst := time.Duration(0)
		for range fromEnvironment("STEPS", 40) {
			h := f.hosts[f.rng.IntN(len(f.hosts))]
			h.list.UpdateLocal(func(m *membership.Metadata) { m.Draining = !m.Draining })
			worst = max(worst, f.waitDisseminated(h))
			time.Sleep(time.Duration(f.rng.IntN(2000)) * time.Millisecond)
		}
		t.Logf("slowest drain %s", worst)
		assert.Assert(t, worst <= 2*time.Second)
	})
}

// waitDisseminated waits until all running hosts have the drain state of h, for at most
// a minute, and returns how long it took.
func (f *fleet) waitDisseminated(h *host) time.Duration {
	begin := time.Now()
	self := h.list.Self()
	for {
		missing := 0
		for _, other := range f.running() {
			m, ok := other.list.Member(self.ID)
			if !ok || m.Draining != self.Draining {
				missing++
			}
		}
		if missing == 0 || time.Since(begin) > time.Minute {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestFalsePositivesWithPacketLoss guards against failure detection that treats lost
// packets as failures: at 5 % loss, at most one running node may be declared dead in ten
// node-days. The run covers 28 node-hours per simulated hour and must have no such
// report. HOURS sets its length; with -short it is 15 minutes long, which bounds the time
// under the race detector.
func TestFalsePositivesWithPacketLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 21, deploymentSize, nil)
		defer f.stopAll()
		for _, h := range f.hosts {
			f.start(h, false)
		}
		f.converge(convergenceLimit)
		f.net.SetFaults(lossy)
		length := time.Duration(fromEnvironment("HOURS", 2)) * time.Hour
		if testing.Short() {
			length = 15 * time.Minute
		}
		time.Sleep(length)
		suspicions, falsePositives := uint64(0), 0
		for _, h := range f.hosts {
			n, _ := h.checker.result()
			falsePositives += n
			suspicions += h.list.Stats().Suspicions
		}
		t.Logf("%d suspicions, %d reports of a running node as dead", suspicions, falsePositives)
		assert.Equal(t, falsePositives, 0)
	})
}

// TestLongPause guards against a node that resumes after a pause of twice the tombstone
// TTL and reintroduces members whose tombstones its peers have removed during the pause.
func TestLongPause(t *testing.T) {
	const ttl = 2 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 31, 12, func(c *membership.Config) { c.TombstoneTTL = ttl })
		defer f.stopAll()
		for _, h := range f.hosts {
			f.start(h, false)
		}
		f.converge(convergenceLimit)
		paused := f.hosts[5]
		f.pause(paused)
		for _, h := range f.hosts[6:10] {
			f.stop(h, membership.Dead)
		}
		time.Sleep(2 * ttl)
		f.resume(paused)
		assert.Assert(t, !paused.list.Fresh())
		f.converge(convergenceLimit)
		assert.Assert(t, paused.list.Fresh())
		for _, h := range f.running() {
			_, violation := h.checker.result()
			assert.Equal(t, violation, "")
			assert.Equal(t, len(h.list.Members()), 8, "%s still has an ended member", h.name)
		}
	})
}

// TestThirdOfDomainReplaced guards against views that do not converge because churn
// exceeds the rate of updates: a third of a failure domain is replaced within a minute,
// with new IDs at the same addresses.
func TestThirdOfDomainReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 41, 48, nil)
		defer f.stopAll()
		for _, h := range f.hosts {
			f.start(h, false)
		}
		f.converge(convergenceLimit)
		for i := range 4 {
			h := f.hosts[4*i]
			f.leave(h, true)
			f.start(h, true)
			time.Sleep(15 * time.Second)
		}
		t.Logf("converged in %s", f.converge(convergenceLimit))
	})
}

// TestStoreUnavailable guards against a fleet that cannot form without the platform, and
// against nodes that flood an unavailable store with reads: the store is unavailable for
// an hour, from before the first start. Nodes join through the configured seeds, and one
// without seeds joins when the store is available again.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 51, 12, nil)
		defer f.stopAll()
		f.store.SetOutage(true)
		for _, h := range f.hosts[:11] {
			f.start(h, false)
		}
		f.converge(convergenceLimit)
		f.configure = func(c *membership.Config) { c.Seeds = nil }
		f.start(f.hosts[11], false)
		time.Sleep(time.Hour)
		assert.Assert(t, f.viewDifference() != "", "the node without seeds cannot have joined")
		reads := f.store.Calls("List")
		t.Logf("%d reads in the hour", reads)
		// The eight holders of RoleSeedKeeper, two in each failure domain, read at most once
		// per minute each, and the node without seeds reads as well.
		assert.Assert(t, reads < 10*60)
		f.store.SetOutage(false)
		took := f.converge(4 * time.Minute)
		t.Logf("joined %s after the store was available again", took)
	})
}

// TestPartitionLongerThanTombstoneTTL guards against a permanent split: the two sides of
// a partition remove each other from their tables and never contact each other again.
func TestPartitionLongerThanTombstoneTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 61, 12, func(c *membership.Config) {
			c.TombstoneTTL = 2 * time.Minute
			// Both configured seeds are on one side.
			c.Seeds = []string{"h00:1", "h04:1"}
		})
		defer f.stopAll()
		for _, h := range f.hosts {
			f.start(h, false)
		}
		f.converge(convergenceLimit)
		time.Sleep(3 * time.Minute)
		side := func(name string) bool { return name == "h00" || name == "h04" || name == "h08" }
		f.net.SetPartition(func(a, b string) bool { return side(a) != side(b) })
		time.Sleep(10 * time.Minute)
		f.net.SetPartition(nil)
		t.Logf("converged after %s", f.converge(convergenceLimit))
	})
}
