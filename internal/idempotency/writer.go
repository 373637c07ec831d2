package idempotency

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// extensionPeriod is how often valid_until is extended, if a quarter of the isolation
	// limit is not shorter.
	extensionPeriod = 5 * time.Minute
	// extensionTurnWait is how much later each next member in write order extends
	// valid_until, if a sixteenth of the isolation limit is not shorter.
	extensionTurnWait = 15 * time.Second
	// unprovableLimit is how long a member may be unable to prove its ownership,
	// because leases are missing or valid_until has passed, before it reads the record
	// from the platform.
	unprovableLimit = 4 * time.Second
)

// maintain makes one step towards the record that the live processes require: it
// resends a pending proposal, or joins, or rereads the record if that is due and writes a
// change that is due. Without a pending proposal it does nothing while this process is
// leaving.
func (m *Manager) maintain(ctx context.Context) {
	if !m.lockRecord(ctx) {
		return
	}
	defer m.unlockRecord()
	if p := m.pendingProposal(); p != nil {
		if m.platformReady() {
			m.sendProposal(ctx, p)
		}
		return
	}
	if m.isLeaving() {
		return
	}
	if !m.isMember() {
		m.join(ctx)
		return
	}
	if !m.platformReady() || m.takeRereadTurn() && !m.readRecord(ctx) {
		return
	}
	m.writeChange(ctx)
}

// lockRecord waits until no other goroutine reads or writes the record on the
// platform. It returns false when ctx ends first.
func (m *Manager) lockRecord(ctx context.Context) bool {
	select {
	case <-m.recordToken:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Manager) unlockRecord() {
	m.recordToken <- struct{}{}
}

// platformReady reports whether the backoff permits a call to the platform now.
func (m *Manager) platformReady() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.backoff.ready(now)
}

func (m *Manager) pendingProposal() *proposal {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.proposal
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

func (m *Manager) isMember() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.isMember()
}

// takeRereadTurn reports whether the record may have changed without this member's
// knowledge and should be read now. If so, it also sets when the next reread may follow:
// until ownership can be proved, the reads are spaced by a backoff like that for a
// failing platform.
func (m *Manager) takeRereadTurn() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.grantLimit() > now {
		m.lastProvable = now
		m.rereadBackoff.reset()
	}
	if !m.behind && now <= m.lastProvable+unprovableLimit.Milliseconds() || !m.rereadBackoff.ready(now) {
		return false
	}
	m.rereadBackoff.increase(now, maxPlatformBackoff, m.config.Random())
	return true
}

// writeChange changes the members, or extends valid_until, when it is this
// member's turn.
func (m *Manager) writeChange(ctx context.Context) {
	if !m.changeDue().empty() {
		// The read detects an unavailable platform before anything is proposed.
		if !m.readRecord(ctx) {
			return
		}
		if p := m.proposeChange(); p != nil {
			m.sendProposal(ctx, p)
		}
		return
	}
	if p := m.proposeExtension(); p != nil {
		m.sendProposal(ctx, p)
	}
}

// changeDue returns the required change once its wait is over, and an empty change
// before. It starts the wait when a change is first required and ends it when none is.
func (m *Manager) changeDue() memberChange {
	live := m.live()
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.isMember() {
		return memberChange{}
	}
	newest := m.core.record.Newest()
	m.core.leases.removeDeparted(newest, live)
	ch := requiredChange(newest, live, m.core.leases.departed, m.recentJoins(now), m.config.MaxMembers)
	if ch.empty() {
		m.changeTimer = changeTimer{}
		return ch
	}
	if m.changeTimer.since == 0 {
		m.changeTimer.since = now
	}
	// Until the newest epoch has started, no further joins are written.
	if len(ch.remove) == 0 && newest.Start > now {
		return memberChange{}
	}
	wait := changeWait(m.config.Service, newest, ch, m.self())
	if now < m.changeTimer.since+wait.Milliseconds() {
		return memberChange{}
	}
	return ch
}

// proposeChange proposes the change that is due after the record was read again. It
// returns nil when none is due or this process must not write.
func (m *Manager) proposeChange() *proposal {
	ch := m.changeDue()
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if ch.empty() || m.leaving {
		return nil
	}
	return m.core.propose(now, ch, platform.NewWriteID())
}

// proposeExtension proposes the periodic extension of valid_until when it is this
// member's turn, and returns nil otherwise. The first member in write order extends it;
// each later one does so later, if the earlier ones fail to.
func (m *Manager) proposeExtension() *proposal {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.isMember() || m.leaving {
		return nil
	}
	limit := m.core.config.isolationLimit
	period := min(extensionPeriod, limit/4)
	for _, member := range writeOrder(m.config.Service, m.core.record.Newest().Members) {
		if member.Identity == m.self() {
			break
		}
		period += min(extensionTurnWait, limit/16)
	}
	if m.core.record.ValidUntil-now > (limit - period).Milliseconds() {
		return nil
	}
	return m.core.proposeValidity(now, platform.NewWriteID())
}

// recentJoins returns the processes whose join requests are still valid and
// removes expired requests. The caller holds mu.
func (m *Manager) recentJoins(now int64) []Member {
	var members []Member
	for id, j := range m.joinRequests {
		if now > j.receivedAt+joinLifetime.Milliseconds() {
			delete(m.joinRequests, id)
			continue
		}
		members = append(members, j.member)
	}
	return members
}

// addJoinRequest stores the join request of a process that is not a member yet. The
// caller holds mu.
func (m *Manager) addJoinRequest(now int64, member Member) {
	if !m.core.record.Newest().Has(member.Identity) {
		m.joinRequests[member.Identity] = joinRequest{member: member, receivedAt: now}
	}
}

// readRecord reads and adopts the stored record. It returns false when there is none, or
// it could not be read or decoded.
func (m *Manager) readRecord(ctx context.Context) bool {
	found, ok := m.readRecordIfPresent(ctx)
	return found && ok
}

// readRecordIfPresent is like readRecord, but distinguishes a missing record
// (found is false, ok is true) from a failure (ok is false).
func (m *Manager) readRecordIfPresent(ctx context.Context) (found, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	m.countPlatformCalls(1, 0)
	object, err := m.config.Store.Get(ctx, RecordKey(m.config.Service))
	if err != nil && resultcode.From(err).Code == resultcode.ScopeNotFound {
		m.updateBackoff(nil)
		return false, true
	}
	if err == nil {
		err = m.adoptObject(object)
	}
	m.updateBackoff(err)
	return err == nil, err == nil
}

// adoptObject adopts the record in a stored object. It fails when the object is
// malformed.
func (m *Manager) adoptObject(object platform.Object) error {
	record, err := decodeRecord(m.config.Service, object.Version, object.Value)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behind = false
	m.adopt(record)
	return nil
}

// updateBackoff sets when the next call to the platform may be made, given the
// result of a call.
func (m *Manager) updateBackoff(err error) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.backoff.reset()
		return
	}
	bound := maxPlatformBackoff
	if m.core.proposal != nil || m.changeTimer.since != 0 {
		bound = maxWriterBackoff
	}
	m.backoff.increase(now, bound, m.config.Random())
}

// sendProposal makes one attempt to write the proposal and applies its outcome.
// A proposal whose outcome is unknown stays pending, and maintain sends it again.
func (m *Manager) sendProposal(ctx context.Context, p *proposal) {
	value, err := encodeRecord(p.record)
	if err != nil {
		m.handleViolation(err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	m.countPlatformCalls(0, 1)
	outcome, present, err := m.editor.Attempt(ctx, platform.Write{
		Key:       RecordKey(m.config.Service),
		IfVersion: p.record.Version,
		Value:     value,
		ID:        p.record.WriteID,
	})
	switch outcome {
	case platform.Applied, platform.Conflicted:
		err = m.adoptObject(present)
	case platform.NotSent:
		m.discardUnsent(p)
	default:
		m.markMaybeSent(p)
	}
	m.updateBackoff(err)
}

func (m *Manager) discardUnsent(p *proposal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.discardUnsent(p)
}

func (m *Manager) markMaybeSent(p *proposal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.maybeSent = true
}

func (m *Manager) countPlatformCalls(reads, writes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.PlatformReads += reads
	m.stats.PlatformWrites += writes
}
