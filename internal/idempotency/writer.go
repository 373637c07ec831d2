package idempotency

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// extensionPeriod is how often valid_until is extended.
	extensionPeriod = 5 * time.Minute
	// extensionRankWait delays the extension by members of lower rank.
	extensionRankWait = 15 * time.Second
	// unprovableLimit is how long ownership may be unproved before a member
	// reads the record from the platform.
	unprovableLimit = 4 * time.Second
)

// maintain makes at most one step towards the record that the live members
// call for.
func (m *Manager) maintain(ctx context.Context) {
	if !m.beginMaintenance(ctx) {
		return
	}
	defer m.endMaintenance()
	if p := m.openProposal(); p != nil {
		if m.platformReady() {
			m.attempt(ctx, p)
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
	if !m.platformReady() || m.isStale() && !m.read(ctx) {
		return
	}
	m.writeChange(ctx)
}

// beginMaintenance waits until nobody else reads or writes the record; it is
// false when ctx ends first.
func (m *Manager) beginMaintenance(ctx context.Context) bool {
	select {
	case <-m.maintenance:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Manager) endMaintenance() {
	m.maintenance <- struct{}{}
}

func (m *Manager) platformReady() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pause.ready(now)
}

func (m *Manager) openProposal() *proposal {
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

// isStale reports whether the record may have changed unseen and should be read
// now. The reads of one long gap are spaced like those of a failing platform.
func (m *Manager) isStale() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.horizon() > now {
		m.provable = now
		m.rereads.succeeded()
	}
	if !m.behind && now <= m.provable+unprovableLimit.Milliseconds() || !m.rereads.ready(now) {
		return false
	}
	m.rereads.failed(now, maxPlatformWait, m.config.Random())
	return true
}

// writeChange changes the members, or extends valid_until, when it is this
// member's turn.
func (m *Manager) writeChange(ctx context.Context) {
	if !m.changeDue().empty() {
		// A platform that is away is noticed here, before anything is proposed.
		if !m.read(ctx) {
			return
		}
		if p := m.proposeChange(); p != nil {
			m.attempt(ctx, p)
		}
		return
	}
	if p := m.proposeExtension(); p != nil {
		m.attempt(ctx, p)
	}
}

// changeDue returns the wanted change once its wait is over.
func (m *Manager) changeDue() change {
	live := m.live()
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.isMember() {
		return change{}
	}
	newest := m.core.record.Newest()
	m.core.leases.forgetDeparted(newest, live)
	ch := wantedChange(newest, live, m.core.leases.departed, m.joining(now), m.config.MaxMembers)
	if ch.empty() {
		m.wanted = wantedSince{}
		return ch
	}
	if m.wanted.at == 0 {
		m.wanted.at = now
	}
	// An epoch that has not started yet is not followed by another join.
	if len(ch.remove) == 0 && newest.Start > now {
		return change{}
	}
	wait := changeWait(m.config.Service, newest, ch, m.self())
	if now < m.wanted.at+wait.Milliseconds() {
		return change{}
	}
	return ch
}

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

// proposeExtension extends valid_until once a period; the first ranked member
// does it unless it fails to.
func (m *Manager) proposeExtension() *proposal {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.isMember() || m.leaving {
		return nil
	}
	limit := m.core.config.isolation
	period := min(extensionPeriod, limit/4)
	for _, member := range ranked(m.config.Service, m.core.record.Newest().Members) {
		if member.Identity == m.self() {
			break
		}
		period += min(extensionRankWait, limit/16)
	}
	if m.core.record.ValidUntil-now > (limit - period).Milliseconds() {
		return nil
	}
	return m.core.proposeValidity(now, platform.NewWriteID())
}

// joining returns the processes that asked to join lately.
func (m *Manager) joining(now int64) []Member {
	var members []Member
	for id, j := range m.joins {
		if now > j.at+joinLifetime.Milliseconds() {
			delete(m.joins, id)
			continue
		}
		members = append(members, j.member)
	}
	return members
}

// noteJoin keeps a request to join. The caller holds mu.
func (m *Manager) noteJoin(now int64, member Member) {
	if !m.core.record.Newest().Has(member.Identity) {
		m.joins[member.Identity] = joinRequest{member: member, at: now}
	}
}

// read adopts the present record. It is false when the platform did not answer.
func (m *Manager) read(ctx context.Context) bool {
	found, ok := m.readIfPresent(ctx)
	return found && ok
}

// readIfPresent is read that tells a missing record from a failure.
func (m *Manager) readIfPresent(ctx context.Context) (found, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	m.countPlatform(1, 0)
	object, err := m.config.Store.Get(ctx, RecordKey(m.config.Service))
	if err != nil && resultcode.From(err).Code == resultcode.ScopeNotFound {
		m.platformAnswered(nil)
		return false, true
	}
	if err == nil {
		err = m.adoptObject(object)
	}
	m.platformAnswered(err)
	return err == nil, err == nil
}

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

// platformAnswered sets when the next call may be made.
func (m *Manager) platformAnswered(err error) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.pause.succeeded()
		return
	}
	bound := maxPlatformWait
	if m.core.proposal != nil || m.wanted.at != 0 {
		bound = maxWriterWait
	}
	m.pause.failed(now, bound, m.config.Random())
}

// attempt sends the proposal and takes its outcome. An unresolved proposal stays
// open and is sent again.
func (m *Manager) attempt(ctx context.Context, p *proposal) {
	value, err := encodeRecord(p.record)
	if err != nil {
		m.violation(err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	m.countPlatform(0, 1)
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
		m.notSent(p)
	default:
		m.maybeSent(p)
	}
	m.platformAnswered(err)
}

func (m *Manager) notSent(p *proposal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.notSent(p)
}

func (m *Manager) maybeSent(p *proposal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.sent = true
}

func (m *Manager) countPlatform(reads, writes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.PlatformReads += reads
	m.stats.PlatformWrites += writes
}
