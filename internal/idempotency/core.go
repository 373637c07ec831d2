package idempotency

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Constants of the protocol; docs/ownership.md argues with them.
const (
	// LeaseDuration is how far ahead a lease reaches.
	LeaseDuration = 6 * time.Second
	// MaxIssueTimeAhead is how far a key's issue time may be ahead of its owner's clock.
	MaxIssueTimeAhead = 6 * time.Second
	// ClockTolerance is how far the clock of an address may have been set back
	// between a dead process and its successor.
	ClockTolerance = 4 * time.Second
	// StartLead is how far ahead a new epoch starts when members may lose keys,
	// so that the leases under it are exchanged before its first key.
	StartLead = time.Second
)

// coreConfig configures a core. All fields are required.
type coreConfig struct {
	self Member
	// window is how long keys are remembered.
	window time.Duration
	// isolationLimit is how far ahead each write sets valid_until.
	isolationLimit time.Duration
	// maxKeys bounds the key table.
	maxKeys int
}

// core is the state of one member. It does no I/O; times are unix milliseconds
// of the member's own clock. The caller serialises calls.
type core struct {
	config   coreConfig
	record   *Record
	leases   *leaseTable
	keys     *keyTable
	proposal *proposal
	// highestGranted is the highestGranted issue time granted.
	highestGranted int64
	// left is set once unlimited leases were given.
	left bool
}

func newCore(c coreConfig) *core {
	return &core{config: c, leases: newLeaseTable(), keys: newKeyTable(c.maxKeys)}
}

// isMember reports whether the newest epoch known has this process.
func (c *core) isMember() bool {
	return c.record != nil && c.record.Newest().Has(c.config.self.Identity)
}

// grantLimit is the issue time before which keys of the newest epoch may be
// granted.
func (c *core) grantLimit() int64 {
	if !c.isMember() {
		return 0
	}
	h := c.leases.smallestReceived(c.config.self.Identity, c.record.Newest().Members)
	h = min(h, c.record.ValidUntil)
	return min(h, c.proposalStart())
}

// proposalStart caps leases and grants while the outcome of a write is open.
func (c *core) proposalStart() int64 {
	if c.proposal == nil {
		return unlimited
	}
	return c.proposal.start
}

// acquire answers an attempt that wants to run a key.
func (c *core) acquire(now int64, key, attempt uuid.UUID) AcquireResult {
	issued := issuedAt(key)
	c.keys.expire(now - c.config.window.Milliseconds())
	if answer, known := c.keys.lookup(key, attempt); known {
		return answer
	}
	if issued < now-c.config.window.Milliseconds() {
		return AcquireResult{State: TooOld}
	}
	if issued >= now+MaxIssueTimeAhead.Milliseconds() || c.record == nil {
		return AcquireResult{State: NotOwner}
	}
	if answer, ok := c.mayGrant(key, issued); !ok {
		return answer
	}
	if !c.keys.grant(key, attempt) {
		return AcquireResult{State: TooOld}
	}
	c.highestGranted = max(c.highestGranted, issued)
	return AcquireResult{State: Granted}
}

// mayGrant checks that this process owns the key and that no other process can.
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

// complete takes the report of an attempt.
func (c *core) complete(key, attempt uuid.UUID, run resultcode.Execution, status int) {
	c.keys.complete(key, attempt, run, status)
}

// adopt takes a record in force. It returns true when the epoch changed. A
// record that is not newer than the present one changes nothing.
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

func (c *core) setRecord(r *Record) {
	changed := c.record == nil || r.Newest().Number != c.record.Newest().Number
	c.record = r
	// The object's version has moved past the one the proposal names.
	if c.proposal != nil && r.Version > c.proposal.record.Version {
		c.proposal = nil
	}
	if changed {
		c.leases.changeEpoch(r.Newest())
	}
}

// checkGrants verifies that the record leaves every key granted here with this
// process. An error means that the protocol failed.
func (c *core) checkGrants() error {
	for key, e := range c.keys.entries {
		if e.state == entryFree {
			continue
		}
		epoch, kept := c.record.EpochOf(e.issued)
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

// giveLease returns the lease to send to a member. With extend false it is the
// one given before, for a member that has not acknowledged it.
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

// receiveLease takes a lease that names an epoch. It counts only under the
// newest epoch known.
func (c *core) receiveLease(from Identity, epoch uint64, until int64) {
	if until == unlimited {
		c.leases.departed[from] = true
	}
	if c.record == nil || epoch != c.record.Newest().Number {
		return
	}
	c.leases.receive(from, until)
}

// leave makes all later leases unlimited. It is false while a write is open
// whose effect the leases would have to respect.
func (c *core) leave() bool {
	if c.proposal != nil && c.proposal.start != unlimited {
		return false
	}
	c.proposal = nil
	c.left = true
	return true
}
