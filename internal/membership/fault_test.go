package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/membership/membershiptest"
)

// deploymentSize is the number of instances of each deployment of today.
const deploymentSize = 28

var lossy = membershiptest.Faults{Loss: 0.05, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond}

// TestDrainReachesAll guards against a drain notice that comes late: with 5 %
// loss all nodes know of it within 2 s, of the 3 s after which an upstream that
// leaves may get no new work.
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
			h.list.UpdateLocal(func(a *membership.Metadata) { a.Draining = !a.Draining })
			worst = max(worst, f.spread(h))
			time.Sleep(time.Duration(f.rng.IntN(2000)) * time.Millisecond)
		}
		t.Logf("slowest drain %s", worst)
		assert.Assert(t, worst <= 2*time.Second)
	})
}

// spread waits until all hosts have h's newest announcement.
func (f *fleet) spread(h *host) time.Duration {
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

// TestMistakesAtLoss guards against failure detection that takes lost packets
// for failures: at 5 % loss at most one node in ten node-days is declared dead
// by mistake. The run covers 28 node-hours per simulated hour; with -short it is
// 15 minutes long, which bounds the time under the race detector.
func TestMistakesAtLoss(t *testing.T) {
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
		suspicions, mistakes := uint64(0), 0
		for _, h := range f.hosts {
			m, _ := h.witness.result()
			mistakes += m
			suspicions += h.list.Stats().Suspicions
		}
		t.Logf("%d suspicions, %d observers took a running node for dead", suspicions, mistakes)
		assert.Equal(t, mistakes, 0)
	})
}

// TestLongPause guards against a node that wakes up after most of the tombstone
// time and reintroduces members that the others are about to forget.
func TestLongPause(t *testing.T) {
	const ttl = 2 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 31, 12, func(c *membership.Config) { c.TombstoneTTL = ttl })
		defer f.stopAll()
		for _, h := range f.hosts {
			f.start(h, false)
		}
		f.converge(convergenceLimit)
		sleeper := f.hosts[5]
		f.pause(sleeper)
		for _, h := range f.hosts[6:10] {
			f.stop(h, membership.Dead)
		}
		time.Sleep(2 * ttl)
		f.resume(sleeper)
		assert.Assert(t, !sleeper.list.Fresh())
		f.converge(convergenceLimit)
		assert.Assert(t, sleeper.list.Fresh())
		for _, h := range f.running() {
			_, fault := h.witness.result()
			assert.Equal(t, fault, "")
			assert.Equal(t, len(h.list.Members()), 8, "%s knows an ended member", h.name)
		}
	})
}

// TestThirdOfDomainReplaced guards against churn that the update rate cannot
// carry: a third of a failure domain is replaced within a minute, with new ids
// at the same addresses.
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

// TestStoreAway guards against a dependence on the platform: with the store away
// for an hour from before the first start, nodes meet through the seeds of the
// settings file, and one that has none joins once the store is back. The calls
// to the store stay few.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 51, 12, nil)
		defer f.stopAll()
		f.store.SetOutage(true)
		for _, h := range f.hosts[:11] {
			f.start(h, false)
		}
		f.converge(convergenceLimit)
		f.tweak = func(c *membership.Config) { c.Seeds = nil }
		f.start(f.hosts[11], false)
		time.Sleep(time.Hour)
		assert.Assert(t, f.disagreement() != "", "the node without seeds cannot have joined")
		reads := f.store.Calls("List")
		t.Logf("%d reads in the hour", reads)
		// One keeper round per minute by eight keepers, and the lone node's.
		assert.Assert(t, reads < 10*60)
		f.store.SetOutage(false)
		took := f.converge(4 * time.Minute)
		t.Logf("joined %s after the store came back", took)
	})
}

// TestPartitionBeyondTombstones guards against two sides of a partition that
// forget each other and never meet again.
func TestPartitionBeyondTombstones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 61, 12, func(c *membership.Config) {
			c.TombstoneTTL = 2 * time.Minute
			// Both seeds of the settings file are on one side.
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
		t.Logf("met again after %s", f.converge(convergenceLimit))
	})
}
