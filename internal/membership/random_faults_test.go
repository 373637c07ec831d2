package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/membership/membershiptest"
)

// convergenceLimit is the specified time from the last fault to equal views: a probe of
// each member, the suspicion timeout, and reconnection and anti-entropy rounds of 10 s
// each.
const convergenceLimit = 45 * time.Second

// TestRandomFaults guards against views that stay incorrect after faults, ended processes
// that become live again, and members that left but are reported dead. Random faults that
// overlap cause them: packet loss, partitions, pauses, crashes, leaves and outages of the
// store. SEED and STEPS select other runs.
func TestRandomFaults(t *testing.T) {
	seed := uint64(fromEnvironment("SEED", 1))
	steps := fromEnvironment("STEPS", 40)
	runs := uint64(3)
	if testing.Short() {
		runs = 1
	}
	for run := range runs {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed+run, 16, func(c *membership.Config) { c.TombstoneTTL = 4 * time.Minute })
			r := &randomRun{fleet: f}
			defer f.stopAll()
			for _, h := range f.hosts {
				f.start(h, false)
			}
			worst := f.converge(convergenceLimit)
			for range steps {
				r.step()
				worst = max(worst, r.recoverAndCheck())
			}
			t.Logf("seed %d: slowest convergence %s", seed+run, worst)
		})
	}
}

// randomRun injects random faults into a fleet.
type randomRun struct {
	*fleet
	// partitioned is set while a partition is in force.
	partitioned bool
}

// step injects one to four faults, which may overlap.
func (r *randomRun) step() {
	for range 1 + r.rng.IntN(4) {
		r.injectFault()
		time.Sleep(time.Duration(r.rng.IntN(15000)) * time.Millisecond)
	}
}

func (r *randomRun) anyHost() *host {
	return r.hosts[r.rng.IntN(len(r.hosts))]
}

func (r *randomRun) injectFault() {
	h := r.anyHost()
	switch r.rng.IntN(10) {
	case 0:
		r.net.SetFaults(membershiptest.Faults{
			Loss: 0.2 * r.rng.Float64(), Duplication: 0.2 * r.rng.Float64(),
			MinDelay: time.Millisecond, MaxDelay: 50 * time.Millisecond,
		})
	case 1:
		from, to := h.name, r.anyHost().name
		r.setPartition(func(a, b string) bool { return a == from && b == to })
	case 2:
		domain := h.domain
		side := map[string]bool{}
		for _, other := range r.hosts {
			side[other.name] = other.domain == domain
		}
		r.setPartition(func(a, b string) bool { return side[a] != side[b] })
	case 3:
		if h.list != nil {
			r.pause(h)
		}
	case 4:
		r.stop(h, membership.Dead)
	case 5, 6:
		r.stop(h, membership.Dead)
		r.start(h, r.rng.IntN(2) == 0)
	case 7:
		if h.list != nil && !h.paused {
			r.leave(h, !r.partitioned)
		}
	case 8:
		if h.list != nil {
			h.list.UpdateLocal(func(m *membership.Metadata) {
				m.Draining = !m.Draining
				m.Slots = r.rng.IntN(100)
			})
		}
	case 9:
		r.store.SetOutage(r.rng.IntN(2) == 0)
		if r.rng.IntN(8) == 0 {
			r.restartAll()
		}
	}
}

func (r *randomRun) setPartition(partitioned func(from, to string) bool) {
	r.partitioned = true
	r.net.SetPartition(partitioned)
}

func (r *randomRun) restartAll() {
	for _, h := range r.hosts {
		r.stop(h, membership.Dead)
	}
	for _, h := range r.hosts {
		r.start(h, false)
	}
}

// recoverAndCheck ends all faults except an outage of the store, starts the hosts that
// are down, waits until the views converge and checks the invariants. It returns the
// convergence time.
func (r *randomRun) recoverAndCheck() time.Duration {
	r.net.SetPartition(nil)
	r.net.SetFaults(lowDelay)
	r.partitioned = false
	for _, h := range r.hosts {
		if h.paused {
			r.resume(h)
		}
		if h.list == nil {
			r.start(h, r.rng.IntN(2) == 0)
		}
	}
	took := r.converge(convergenceLimit)
	for _, h := range r.hosts {
		_, violation := h.checker.result()
		assert.Equal(r.t, violation, "", h.name)
	}
	return took
}
