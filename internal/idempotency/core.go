package idempotency

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Constants of the protocol. The correctness argument in
// docs/ownership.md relies on them.
const (
	// A lease from one member to another lets the receiver grant keys issued before the end
	// of the lease. LeaseDuration is how far ahead of the sender's clock an extended lease
	// ends, unless a pending change of members limits it.
	LeaseDuration = 6 * time.Second
	// MaxIssueTimeAhead is how far a key's issue time may be ahead of its owner's
	// clock.
	MaxIssueTimeAhead = 6 * time.Second
	// ClockTolerance is how far the clock at an address may be set back between a
	// process that ended and the one that replaces it there.
	ClockTolerance = 4 * time.Second
	// StartLead is the shortest time from the writer's clock to the start of a new epoch,
	// when a member that stays may lose keys or the writer itself leaves. The leases of the
	// epoch can thus be exchanged before its first key is issued.
	StartLead = time.Second
)

// coreConfig configures a core. All fields are required.
type coreConfig struct {
	self Member
	// window is how long after its issue time a key is remembered.
	window time.Duration
	// isolationLimit is how far ahead each write sets valid_until.
	isolationLimit time.Duration
	// maxKeys bounds the key table.
	maxKeys int
}

// core is the protocol state of one member. It does no I/O. Times are unix
// milliseconds of the member's own wall clock. It is not safe for concurrent
// use.
type core struct {
	config coreConfig
	// record is the newest known record, or nil before the first one.
	record *Record
	leases *leaseTable
	keys   *keyTable
	// proposal is the pending write of the record, or nil.
	proposal *proposal
	// highestGranted is the highest issue time of a granted key.
	highestGranted int64
	// left is set by leave: from then on, this process gives only unlimited leases.
	left bool
}

func newCore(c coreConfig) *core {
	return &core{config: c, leases: newLeaseTable(), keys: newKeyTable(c.maxKeys)}
}

// isMember reports whether this process is a member of the newest known epoch.
func (c *core) isMember() bool {
	return c.record != nil && c.record.Newest().Has(c.config.self.Identity)
}

// grantLimit returns the issue time before which keys of the newest epoch may be
// granted: the earliest of the ends of the received leases, valid_until and the start
// of a proposed epoch. It is zero for a process that is not a member.
func (c *core) grantLimit() int64 {
	if !c.isMember() {
		return 0
	}
	limit := c.leases.smallestReceived(c.config.self.Identity, c.record.Newest().Members)
	limit = min(limit, c.record.ValidUntil)
	return min(limit, c.proposalStart())
}

// proposalStart returns the issue time at which leases and grants have to end while
// the outcome of a write is unknown, or unlimited when no write limits them.
func (c *core) proposalStart() int64 {
	if c.proposal == nil {
		return unlimited
	}
	return c.proposal.start
}

// acquire decides whether an attempt may run the call with a key.
func (c *core) acquire(now int64, key, attempt uuid.UUID) AcquireResult {
	issued := issuedAt(key)
	c.keys.expire(now - c.config.window.Milliseconds())
	if result, known := c.keys.lookup(key, attempt); known {
		return result
	}
	if issued < now-c.config.window.Milliseconds() {
		return AcquireResult{State: TooOld}
	}
	if issued >= now+MaxIssueTimeAhead.Milliseconds() || c.record == nil {
		return AcquireResult{State: NotOwner}
	}
	if result, ok := c.mayGrant(key, issued); !ok {
		return result
	}
	if !c.keys.grant(key, attempt) {
		return AcquireResult{State: TooOld}
	}
	c.highestGranted = max(c.highestGranted, issued)
	return AcquireResult{State: Granted}
}

// mayGrant checks that this process owns the key and that no other process can
// grant it. If not, it returns the refusal and false.
func (c *core) mayGrant(key uuid.UUID, issued int64) (AcquireResult, bool) {
	epoch, ok := c.record.EpochOf(issued)
	if !ok {
		return AcquireResult{State: TooOld}, false
	}
	owner, ok := epoch.Owner(key)
	if !ok || owner.Identity != c.config.self.Identity {
		return AcquireResult{State: NotOwner}, false
	}
	if epoch.Number == c.record.Newest().Number && issued >= c.grantLimit() {
		return AcquireResult{State: NotOwner}, false
	}
	return AcquireResult{State: Granted}, true
}

// complete records the reported outcome of an attempt.
func (c *core) complete(key, attempt uuid.UUID, execution resultcode.Execution, status int) {
	c.keys.complete(key, attempt, execution, status)
}

// adopt replaces the current record by a newer one that is stored on the
// platform. It returns true when the newest epoch changed. A record that is not
// newer than the current one changes nothing. An error means that an invariant of the
// protocol does not hold; with true and an error the record has been replaced.
func (c *core) adopt(r *Record) (bool, error) {
	if c.record != nil && r.Version <= c.record.Version {
		return false, nil
	}
	if err := r.check(); err != nil {
		return false, err
	}
	if c.record == nil {
		c.setRecord(r)
		return true, nil
	}
	if err := r.checkSuccessorOf(c.record); err != nil {
		return false, err
	}
	changed := r.Newest().Number != c.record.Newest().Number
	c.setRecord(r)
	if changed {
		return true, c.checkGrants()
	}
	return false, nil
}

// setRecord replaces the record. It discards a proposal that the new record resolves
// and, when the newest epoch changes, the leases received under the previous one.
func (c *core) setRecord(r *Record) {
	changed := c.record == nil || r.Newest().Number != c.record.Newest().Number
	c.record = r
	// The object's version is past the one on which the proposal is conditional,
	// so the proposed write was applied or can no longer take effect.
	if c.proposal != nil && r.Version > c.proposal.record.Version {
		c.proposal = nil
	}
	if changed {
		c.leases.changeEpoch(r.Newest())
	}
}

// checkGrants verifies that this process still owns every key that it granted and
// remembers. It leaves out the keys that were released and those of epochs that the record
// no longer holds. An error means that the protocol failed.
func (c *core) checkGrants() error {
	for key, granted := range c.keys.remembered {
		if granted.state == stateFree {
			continue
		}
		epoch, kept := c.record.EpochOf(granted.issued)
		if !kept {
			continue
		}
		if owner, ok := epoch.Owner(key); !ok || owner.Identity != c.config.self.Identity {
			return errors.Errorf("key %s granted by %s belongs to %s in epoch %d",
				key, c.config.self.ID, owner.ID, epoch.Number)
		}
	}
	return nil
}

// giveLease records a lease to a member and returns its end; ok is false when either
// process is not a member. Once this process has left, the lease is unlimited. Before
// that, with extend false, it has the end of the lease given before, which the member has
// not acknowledged.
func (c *core) giveLease(now int64, to Identity, extend bool) (until int64, ok bool) {
	if !c.isMember() || !c.record.Newest().Has(to) {
		return 0, false
	}
	if c.left {
		return c.leases.give(to, unlimited), true
	}
	until = c.leases.given[to]
	if extend {
		until = min(now+LeaseDuration.Milliseconds(), c.proposalStart())
	}
	return c.leases.give(to, until), true
}

// receiveLease stores a lease from another member. A lease permits grants only if it
// names the newest known epoch; an unlimited one marks its sender as departed in any case.
func (c *core) receiveLease(from Identity, epoch uint64, until int64) {
	if until == unlimited {
		c.leases.departed[from] = true
	}
	if c.record == nil || epoch != c.record.Newest().Number {
		return
	}
	c.leases.receive(from, until)
}

// leave makes all leases that this process gives later unlimited and discards a pending
// proposal that does not limit the leases. While the outcome of a write that limits them
// is unknown, it returns false and changes nothing.
func (c *core) leave() bool {
	if c.proposal != nil && c.proposal.start != unlimited {
		return false
	}
	c.proposal = nil
	c.left = true
	return true
}
