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

// mutant disables mechanisms of the protocol, to show that a test fails without
// them.
type mutant struct {
	// extendLeases makes receivers store leases that end later than the sender's
	// record of them.
	extendLeases bool
	// earlyStart writes epochs that start 1 ms after the start of the previous one.
	earlyStart bool
	// earlyTakeover writes epochs that start at the time of the write.
	earlyTakeover bool
	// resetMinIssued makes owners forget keys without raising minIssued.
	resetMinIssued bool
	// dropProposal makes writers assume that a write with an unknown outcome had no
	// effect.
	dropProposal bool
	// clearMaybeSent makes writers take a later attempt that was not sent as proof
	// that an earlier one had no effect.
	clearMaybeSent bool
}

// alterLease modifies a lease on its way to the receiver.
func (mut mutant) alterLease(r *peerv1.RenewLeaseRequest) {
	if mut.extendLeases {
		r.UntilUnixMs += 60_000
	}
}

// alterRecord modifies a record on its way to the store.
func (mut mutant) alterRecord(value []byte) []byte {
	if !mut.earlyStart && !mut.earlyTakeover {
		return value
	}
	r, err := decodeRecord(testService, 0, value)
	if err != nil || len(r.Epochs) < 2 {
		return value
	}
	r.Epochs[0].Start = r.Epochs[1].Start + 1
	if mut.earlyTakeover {
		r.Epochs[0].Start = max(r.Epochs[0].Start, time.Now().UnixMilli())
	}
	value, _ = encodeRecord(r)
	return value
}

// alterManager modifies the state of a Manager. It is called often for every
// running process.
func (mut mutant) alterManager(m *Manager) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if mut.resetMinIssued {
		for len(m.core.keys.order) > 20 {
			m.core.keys.evictOldest()
		}
		m.core.keys.minIssued = 0
	}
	if p := m.core.proposal; mut.clearMaybeSent && p != nil {
		p.maybeSent = false
	}
	if p := m.core.proposal; mut.dropProposal && p != nil && p.maybeSent {
		m.core.proposal = nil
	}
}

// mutantSeeds bounds the seeds that are run until a mutant is detected.
const mutantSeeds = 20

// Guards against fault tests that would not detect a missing mechanism: with each one
// disabled, some seed of the random faults, of takeoverAfterKeysAhead or of a late write
// must run a key twice.
func TestRandomFaultsDetectMutants(t *testing.T) {
	for name, test := range map[string]struct {
		mutant mutant
		faults func(*fleet)
	}{
		"leases ignored":          {mutant{extendLeases: true}, randomFaults},
		"epoch start not kept":    {mutant{earlyStart: true}, randomFaults},
		"takeover starts at once": {mutant{earlyTakeover: true}, takeoverAfterKeysAhead},
		"minIssued not kept":      {mutant{resetMinIssued: true}, randomFaults},
		"proposal dropped":        {mutant{dropProposal: true}, lateWrite},
		"earlier attempt ignored": {mutant{clearMaybeSent: true}, lateWriteThenUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			var failure error
			seed := uint64(0)
			for failure == nil && seed < mutantSeeds {
				seed++
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, 2+int(seed%4))
					defer f.close()
					f.mutant = test.mutant
					// Only executions count here, not the violations that Managers detect.
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

// Guards against a takeover whose epoch starts before the issue times of keys that the
// ended member granted ahead of its clock.
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

// takeoverAfterKeysAhead makes one member grant keys of a caller whose clock is
// ahead. A new process replaces the member immediately and is asked for the same keys.
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

// acquireOnce acquires a key at a node and counts a permitted attempt as an execution.
func (f *fleet) acquireOnce(n *node, key uuid.UUID) {
	if f.acquireKey(n, key) == nil {
		f.observer.permitted(key, n.current().member.ID)
	}
}

// Guards against a writer that grants keys issued after the start of the epoch that it
// proposed while its write may still take effect. A read that shows the unchanged record,
// or a later attempt that was not sent, does not prove that the write has no effect.
func TestLateWrites(t *testing.T) {
	for name, faults := range map[string]func(*fleet){"platform reachable": lateWrite, "platform unreachable afterwards": lateWriteThenUnreachable} {
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

// lateWrite makes the change that adds a third member take effect 12 s after it was
// sent and about 7 s after the start of its epoch.
func lateWrite(f *fleet) {
	f.lateJoin(func() {})
}

// lateWriteThenUnreachable also makes the platform unreachable, so that the
// writer's second attempt is known to have had no effect.
func lateWriteThenUnreachable(f *fleet) {
	f.lateJoin(func() {
		for _, n := range f.nodes {
			f.setPlatformUnreachable(n, true)
		}
	})
}

// lateJoin makes a third node join while keys are issued and writes take effect 12 s late.
// It calls afterFirstWrite once the change that adds the node has been sent.
func (f *fleet) lateJoin(afterFirstWrite func()) {
	f.nodes[0].start()
	f.nodes[1].start()
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	go f.issueKeys(ctx)
	time.Sleep(30 * time.Second)
	before := f.store.Counts().Updates
	f.store.SetFaults(platformtest.Faults{LateWriteFraction: 1, LateWriteMs: 12_000})
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
