package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// mutant switches a mechanism off, so that a test shows that it is needed.
type mutant struct {
	// extendLeases has receivers take leases for longer than the sender promised.
	extendLeases bool
	// earlyStart writes epochs that start right after the former one.
	earlyStart bool
	// earlyTakeover writes epochs that start at once.
	earlyTakeover bool
	// forgetMinIssued has owners forget keys without raising the floor.
	forgetMinIssued bool
	// dropProposal has writers take an unresolved write for one without effect.
	dropProposal bool
	// forgetMaybeSent has writers take a later attempt that was not sent as proof that
	// an earlier one had no effect.
	forgetMaybeSent bool
}

func (s mutant) alterLease(r *peerv1.RenewLeaseRequest) {
	if s.extendLeases {
		r.UntilUnixMs += 60_000
	}
}

func (s mutant) alterRecord(value []byte) []byte {
	if !s.earlyStart && !s.earlyTakeover {
		return value
	}
	r, err := decodeRecord(testService, 0, value)
	if err != nil || len(r.Epochs) < 2 {
		return value
	}
	r.Epochs[0].Start = r.Epochs[1].Start + 1
	if s.earlyTakeover {
		r.Epochs[0].Start = max(r.Epochs[0].Start, time.Now().UnixMilli())
	}
	value, _ = encodeRecord(r)
	return value
}

// alterManager is called often for every running process.
func (s mutant) alterManager(m *Manager) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.forgetMinIssued {
		for len(m.core.keys.order) > 20 {
			m.core.keys.evictOldest()
		}
		m.core.keys.minIssued = 0
	}
	if p := m.core.proposal; s.forgetMaybeSent && p != nil {
		p.maybeSent = false
	}
	if p := m.core.proposal; s.dropProposal && p != nil && p.maybeSent {
		m.core.proposal = nil
	}
}

// mutantSeeds bounds the seeds tried until a failure shows.
const mutantSeeds = 20

// Guards against a randomised run that would not notice a missing mechanism:
// with each one off, some seed must run a key twice.
func TestRandomFaultsDetectMutants(t *testing.T) {
	for name, test := range map[string]struct {
		sabotage mutant
		faults   func(*fleet)
	}{
		"leases ignored":           {mutant{extendLeases: true}, randomFaults},
		"epoch start not kept":     {mutant{earlyStart: true}, randomFaults},
		"takeover starts at once":  {mutant{earlyTakeover: true}, takeoverAfterKeysAhead},
		"floor not kept":           {mutant{forgetMinIssued: true}, randomFaults},
		"open proposal not capped": {mutant{dropProposal: true}, lateWrite},
		"earlier attempt ignored":  {mutant{forgetMaybeSent: true}, lateWriteThenUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			var failure error
			seed := uint64(0)
			for failure == nil && seed < mutantSeeds {
				seed++
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, 2+int(seed%4))
					defer f.close()
					f.mutant = test.sabotage
					// Only executions count here, not the owners' own checks.
					f.config = func(c *Config) { c.OnViolation = nil }
					f.skewClocks(time.Second)
					test.faults(f)
					failure = f.observer.failed()
				})
			}
			assert.Assert(t, failure != nil, "no failure in %d seeds", mutantSeeds)
			t.Logf("seed %d: %v", seed, failure)
		})
	}
}

func randomFaults(f *fleet) {
	f.startAll()
	f.runFaults(defaultSteps)
}

// Guards against a takeover that starts before keys that the dead member
// granted ahead of its clock.
func TestTakeoverAfterKeysIssuedAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.close()
		takeoverAfterKeysAhead(f)
		assert.NilError(t, f.observer.failed())
		assert.Assert(t, f.observer.executed == 20, "%d", f.observer.executed)
		f.awaitRecovery(recoveryBound)
	})
}

// takeoverAfterKeysAhead has one member grant keys of a caller whose clock is ahead; a
// new process replaces it at once and is asked for the same keys.
func takeoverAfterKeysAhead(f *fleet) {
	n := f.nodes[0]
	n.start()
	time.Sleep(20 * time.Second)
	keys := make([]uuid.UUID, 20)
	for i := range keys {
		keys[i] = f.newKey(5 * time.Second)
		f.acquireOnce(n, keys[i])
	}
	n.crash()
	n.start()
	for range 60 {
		for _, key := range keys {
			f.acquireOnce(n, key)
		}
		time.Sleep(time.Second)
	}
}

func (f *fleet) acquireOnce(n *node, key uuid.UUID) {
	if f.acquireKey(n, key) == nil {
		f.observer.permitted(key, n.current().member.ID)
	}
}

// Guards against a writer that goes on granting while its own write, which was
// read back as without effect, is still on its way.
func TestLateWrites(t *testing.T) {
	for name, faults := range map[string]func(*fleet){"answered": lateWrite, "then cut": lateWriteThenUnreachable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, 3)
				defer f.close()
				faults(f)
				assert.NilError(t, f.observer.failed())
				assert.Assert(t, f.observer.executed > 200, "%d", f.observer.executed)
				f.awaitRecovery(recoveryBound)
			})
		})
	}
}

// lateWrite has the change that adds a third member take effect 12 s after it
// was sent and seven seconds after its start.
func lateWrite(f *fleet) {
	f.lateJoin(func() {})
}

// lateWriteThenUnreachable also cuts off the platform, so that the writer's second
// attempt is known to be without effect.
func lateWriteThenUnreachable(f *fleet) {
	f.lateJoin(func() {
		for _, n := range f.nodes {
			f.setPlatformUnreachable(n, true)
		}
	})
}

func (f *fleet) lateJoin(afterFirstWrite func()) {
	f.nodes[0].start()
	f.nodes[1].start()
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	go f.issueKeys(ctx)
	time.Sleep(30 * time.Second)
	before := f.store.Counts().Updates
	f.store.SetFaults(platformtest.Faults{LateWriteShare: 1, LateWriteMs: 12_000})
	f.nodes[2].start()
	for f.store.Counts().Updates == before {
		time.Sleep(10 * time.Millisecond)
	}
	afterFirstWrite()
	time.Sleep(15 * time.Second)
	f.store.SetFaults(platformtest.Faults{})
	for _, n := range f.nodes {
		f.setPlatformUnreachable(n, false)
	}
	time.Sleep(time.Minute)
}
