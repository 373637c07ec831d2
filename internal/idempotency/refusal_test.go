package idempotency

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// refusals counts the new keys that were attempted and those of them that were refused.
type refusals struct {
	fleet *fleet
	start time.Time
	// mu guards the fields below.
	mu       sync.Mutex
	attempts int
	// lastRefused is when the last refused key was issued, as the time since start.
	lastRefused time.Duration
	refused     int
}

// measureRefusals issues a key every 20 ms for duration d and attempts each one
// once, at the given nodes in turn.
func (f *fleet) measureRefusals(d time.Duration, nodes ...int) *refusals {
	r := &refusals{fleet: f, start: time.Now()}
	var group sync.WaitGroup
	for i := 0; time.Since(r.start) < d; i++ {
		n := f.nodes[nodes[i%len(nodes)]]
		group.Go(func() { r.attempt(n) })
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	return r
}

func (r *refusals) attempt(n *node) {
	issued := time.Since(r.start)
	err := r.fleet.acquireKey(n, r.fleet.newKey(0))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	if err != nil {
		r.refused++
		r.lastRefused = max(r.lastRefused, issued)
	}
}

// Guards against a fault after which new non-idempotent calls are refused for longer than
// docs/ownership.md states. Each row runs four members; when one member fails or leaves,
// it is the first.
func TestRefusalDuration(t *testing.T) {
	outage := platformtest.Faults{Outage: true}
	for _, row := range []struct {
		name string
		// fault starts the fault. Keys are then issued immediately at the other three
		// nodes.
		fault func(*fleet)
		// bound is how long after the fault the last refused key may be issued; zero means
		// that none issued after the time of the fault may be refused.
		bound time.Duration
	}{
		{"platform unavailable", func(f *fleet) { f.store.SetFaults(outage) }, 0},
		{"responses lost", func(f *fleet) { f.store.SetFaults(platformtest.Faults{LostResponseFraction: 1}) }, 0},
		{"join", func(f *fleet) { f.addNode() }, 0},
		{"graceful leave", func(f *fleet) { go f.leaveFirst() }, 0},
		{"crash", func(f *fleet) { f.nodes[0].crash() }, 9 * time.Second},
		{"crash and restart", func(f *fleet) { f.nodes[0].crash(); f.nodes[0].restart() }, 9 * time.Second},
		{"crash, write responses lost", func(f *fleet) {
			f.store.SetFaults(platformtest.Faults{LostResponseFraction: 1})
			f.nodes[0].crash()
		}, 9 * time.Second},
		{"crash, late writes", func(f *fleet) {
			f.store.SetFaults(platformtest.Faults{LateWriteFraction: 1, LateWriteMs: 2000})
			f.nodes[0].crash()
		}, 13 * time.Second},
		{"pause", func(f *fleet) {
			f.nodes[0].pause()
			go f.afterRandomDelay(0, func() { time.Sleep(40 * time.Second); f.nodes[0].unpause() })
		}, 9 * time.Second},
		{"partition", func(f *fleet) { f.isolate(f.nodes[0], true) }, 9 * time.Second},
		{"crash, platform unavailable for 30 s", func(f *fleet) {
			f.store.SetFaults(outage)
			f.nodes[0].crash()
			go func() { time.Sleep(30 * time.Second); f.store.SetFaults(platformtest.Faults{}) }()
		}, 37 * time.Second},
		{"join, platform unavailable for 30 s after the write", func(f *fleet) {
			f.store.SetFaults(platformtest.Faults{LateWriteFraction: 1, LateWriteMs: 20_000})
			before := f.store.Counts().Updates
			f.addNode()
			go func() {
				for f.store.Counts().Updates == before {
					time.Sleep(10 * time.Millisecond)
				}
				f.store.SetFaults(outage)
				time.Sleep(30 * time.Second)
				f.store.SetFaults(platformtest.Faults{})
			}()
		}, 37 * time.Second},
		{"all crash, replaced at the same addresses", func(f *fleet) {
			for _, n := range f.nodes {
				n.crash()
				n.restart()
			}
		}, 16 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 7, 4)
				defer f.close()
				f.skewClocks(500 * time.Millisecond)
				f.startAll()
				time.Sleep(30 * time.Second)
				row.fault(f)
				r := f.measureRefusals(2*time.Minute, 1, 2, 3)
				t.Logf("%d of %d keys refused, the last one issued %s after the fault", r.refused, r.attempts, r.lastRefused)
				assert.Assert(t, r.lastRefused <= row.bound, "a key issued after %s was refused; the bound is %s", r.lastRefused, row.bound)
			})
		})
	}
}

// Guards against a member that grants keys while it is partitioned from the others, once
// the leases received before have ended, or that does not rejoin afterwards.
func TestPartitionedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 4)
		defer f.close()
		f.startAll()
		time.Sleep(30 * time.Second)
		f.isolate(f.nodes[0], true)
		time.Sleep(LeaseDuration)
		r := f.measureRefusals(time.Minute, 0)
		assert.Equal(t, r.refused, r.attempts)
		f.isolate(f.nodes[0], false)
		r = f.measureRefusals(2*time.Minute, 0)
		t.Logf("last refused key issued %s after the partition healed", r.lastRefused)
		assert.Assert(t, r.lastRefused <= 30*time.Second, "%s", r.lastRefused)
	})
}

// Guards against a service of many nodes that all exchange leases, because the members
// are not bounded, and against nodes that are not members and cannot find the owners, also
// after two nodes have crashed.
func TestManyNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 24)
		defer f.close()
		f.startAll()
		time.Sleep(time.Minute)
		assert.Equal(t, len(f.nodes[0].record().Newest().Members), DefaultMaxMembers)
		before := f.store.Counts()
		r := f.measureRefusals(time.Minute, 1, 5, 9, 13, 17, 21, 23)
		assert.Equal(t, r.refused, 0)
		after := f.store.Counts()
		assert.Assert(t, after.Reads()+after.Writes()-before.Reads()-before.Writes() <= 2)
		f.nodes[0].crash()
		f.nodes[1].crash()
		r = f.measureRefusals(time.Minute, 2, 7, 12, 17, 20, 21, 22, 23)
		t.Logf("%d of %d keys refused, the last one issued %s after the crash of two", r.refused, r.attempts, r.lastRefused)
		assert.Assert(t, r.lastRefused <= 12*time.Second, "%s", r.lastRefused)
	})
}

// Guards against a call that was not run and is then refused at the node to which
// it moves, because the next attempt overtook the report to the owner.
func TestMoveRightAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 4)
		defer f.close()
		f.startAll()
		time.Sleep(30 * time.Second)
		m := f.nodes[0].current().manager
		for range 400 {
			key, attempt := f.newKey(0), uuid.New()
			assert.NilError(t, m.Acquire(f.ctx, testService, key, attempt))
			m.Complete(f.ctx, testService, key, attempt, resultcode.NotRun, 0)
			assert.NilError(t, f.acquireKey(f.nodes[1], key))
		}
	})
}

// Guards against a member that leaves while the platform is unavailable and thereby makes
// the other members refuse the keys that they own themselves, and against the leaving
// member's keys staying refused after the platform is available again.
func TestLeaveWhilePlatformIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 4)
		defer f.close()
		f.startAll()
		time.Sleep(30 * time.Second)
		f.store.SetFaults(platformtest.Faults{Outage: true})
		assert.NilError(t, f.nodes[0].leave(0))
		leaving := f.nodes[0].current().member.Identity
		for range 3000 {
			key := f.newKey(0)
			owner, _ := f.nodes[1].record().Newest().Owner(key)
			err := f.acquireKey(f.nodes[1], key)
			assert.Equal(t, err != nil, owner.Identity == leaving, "owner %s: %v", owner.ID, err)
			time.Sleep(20 * time.Millisecond)
		}
		f.store.SetFaults(platformtest.Faults{})
		r := f.measureRefusals(time.Minute, 1, 2, 3)
		t.Logf("last refused key issued %s after the platform was available again", r.lastRefused)
		assert.Assert(t, r.lastRefused <= 7*time.Second, "%s", r.lastRefused)
	})
}

// Guards against members that, while the platform is unavailable, refuse keys before
// valid_until or grant keys after it has passed, and against ownership that does not
// recover after hours of that.
func TestPlatformUnavailableForHours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 3)
		defer f.close()
		f.config = func(c *Config) { c.IsolationLimit = time.Hour }
		f.startAll()
		time.Sleep(30 * time.Second)
		f.store.SetFaults(platformtest.Faults{Outage: true})
		time.Sleep(50 * time.Minute)
		r := f.measureRefusals(time.Minute, 0, 1, 2)
		assert.Equal(t, r.refused, 0)
		time.Sleep(3 * time.Hour)
		assert.Assert(t, f.acquireKey(f.nodes[0], f.newKey(0)) != nil)
		f.store.SetFaults(platformtest.Faults{})
		f.awaitRecovery(recoveryBound)
	})
}

// Guards against a takeover before valid_until by a process that cannot prove that
// the members have ended, and against a takeover that never happens. No proof is possible
// because the new processes have other addresses than the members.
func TestMembersReplacedAtOtherAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 4)
		defer f.close()
		f.nodes[0].start()
		f.nodes[1].start()
		time.Sleep(30 * time.Second)
		validUntil := f.nodes[0].record().ValidUntil
		f.nodes[0].crash()
		f.nodes[1].crash()
		f.nodes[2].start()
		f.nodes[3].start()
		for time.Now().UnixMilli() < validUntil {
			assert.Assert(t, f.acquireKey(f.nodes[2], f.newKey(0)) != nil)
			time.Sleep(time.Second)
		}
		r := f.measureRefusals(2*time.Minute, 2, 3)
		t.Logf("last refused key issued %s after valid_until", r.lastRefused)
		assert.Assert(t, r.lastRefused <= 40*time.Second, "%s", r.lastRefused)
	})
}

// Guards against a number of platform calls that grows with the number of
// non-idempotent calls.
func TestPlatformCallsDoNotGrowWithRequests(t *testing.T) {
	calls := func(keys int) int64 {
		var total int64
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 7, 3)
			defer f.close()
			f.startAll()
			time.Sleep(30 * time.Second)
			before := f.store.Counts()
			start := time.Now()
			for range keys {
				f.attempt(f.nodes[f.intn(3)], f.newKey(0))
			}
			time.Sleep(time.Hour - time.Since(start))
			after := f.store.Counts()
			total = after.Reads() + after.Writes() - before.Reads() - before.Writes()
		})
		return total
	}
	few, many := calls(10), calls(1000)
	t.Logf("platform calls of three members in an hour: %d with 10 requests, %d with 1000", few, many)
	assert.Equal(t, few, many)
	// One extension each isolation_limit/4, which is 75 s here.
	assert.Assert(t, few <= 50, "%d", few)
}
