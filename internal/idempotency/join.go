package idempotency

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

const (
	// joinInterval is how often a process that is not a member asks to join.
	joinInterval = time.Second
	// fullJoinInterval is the longest time between two requests of such a process
	// while there are already MaxMembers members. It continues to ask because the
	// response carries the record, in which it finds the owners.
	fullJoinInterval = 10 * time.Second
)

// join makes one step towards membership: it sends a join request to one
// process. Unless that process accepts the request, join reads the record and writes
// the record itself if no member can.
func (m *Manager) join(ctx context.Context) {
	if !m.takeJoinTurn() {
		return
	}
	if m.requestJoin(ctx) || !m.platformReady() {
		return
	}
	found, ok := m.readRecordIfPresent(ctx)
	if !ok || m.isMember() {
		return
	}
	if !found {
		m.createRecord(ctx)
		return
	}
	m.takeOver(ctx)
}

// takeJoinTurn reports whether the next step towards membership is due. If it is, the
// following one is due joinInterval later.
func (m *Manager) takeJoinTurn() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.nextJoin {
		return false
	}
	m.nextJoin = now + joinInterval.Milliseconds()
	return true
}

// requestJoin sends a join request to one process that may be a member, to the
// next one with each call. It returns whether the receiver accepted the request. This
// process still does not become a member while there are already MaxMembers members.
func (m *Manager) requestJoin(ctx context.Context) bool {
	others := m.joinTargets()
	if len(others) == 0 {
		return false
	}
	target := others[m.joinRequestsSent%len(others)]
	m.joinRequestsSent++
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	response, err := m.client(target).JoinOwnership(ctx, connect.NewRequest(&peerv1.JoinOwnershipRequest{
		Service: m.config.Service, Member: m.config.Self.toProto(),
	}))
	if err != nil {
		return false
	}
	m.adoptMessage(response.Msg.Record)
	if response.Msg.Accepted {
		m.delayJoinIfFull()
	}
	return response.Msg.Accepted
}

// delayJoinIfFull delays the next join request when there are already MaxMembers members.
func (m *Manager) delayJoinIfFull() {
	now := m.now()
	wait := fullJoinInterval/2 + time.Duration(m.config.Random()*float64(fullJoinInterval)/2)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.record != nil && len(m.core.record.Newest().Members) >= m.config.MaxMembers {
		m.nextJoin = now + wait.Milliseconds()
	}
}

// endJoinDelay shortens the delay of delayJoinIfFull to at most joinInterval from now. It
// is called when the record may be out of date.
func (m *Manager) endJoinDelay() {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextJoin = min(m.nextJoin, now+joinInterval.Milliseconds())
}

// joinTargets returns, without this process, the live members of the newest known epoch
// in write order, or all live processes of the service when no such member is live.
func (m *Manager) joinTargets() []Member {
	live := m.live()
	delete(live, m.self())
	var all, members []Member
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range live {
		all = append(all, member)
		if m.core.record != nil && m.core.record.Newest().Has(member.Identity) {
			members = append(members, member)
		}
	}
	if len(members) > 0 {
		return writeOrder(m.config.Service, members)
	}
	return writeOrder(m.config.Service, all)
}

// isWriteTurn reports whether this process should write a record for the live
// processes. The first call starts the change timer, which holds since when a change is
// required. The first process in write order then waits for joinBatchWait, and each later
// one writeTurnWait longer than the one before it.
func (m *Manager) isWriteTurn(live []Member) bool {
	now := m.now()
	wait := joinBatchWait
	for _, member := range writeOrder(m.config.Service, live) {
		if member.Identity == m.self() {
			break
		}
		wait += writeTurnWait
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changeTimer.since == 0 {
		m.changeTimer.since = now
	}
	return now >= m.changeTimer.since+wait.Milliseconds()
}

// liveMembers returns the live processes of the service in write order.
func (m *Manager) liveMembers() []Member {
	var members []Member
	for _, member := range m.live() {
		members = append(members, member)
	}
	return writeOrder(m.config.Service, members)
}

// newEpochMembers returns the live processes that become members when a process
// that is not a member writes the record: the first MaxMembers in write order.
func (m *Manager) newEpochMembers(live []Member) []Member {
	return live[:min(len(live), m.config.MaxMembers)]
}

// createRecord writes the service's first record when it is this process's turn.
func (m *Manager) createRecord(ctx context.Context) {
	live := m.liveMembers()
	if !m.isWriteTurn(live) {
		return
	}
	now := m.now()
	m.mu.Lock()
	if m.core.record != nil || m.leaving {
		m.mu.Unlock()
		return
	}
	p := m.core.create(now, m.config.Service, m.newEpochMembers(live), platform.NewWriteID())
	m.mu.Unlock()
	m.sendProposal(ctx, p)
}

// takeOver writes the next epoch when no member can and it is this process's turn. No
// member can when there are none, all of them are proved to have ended, or valid_until has
// passed.
func (m *Manager) takeOver(ctx context.Context) {
	live := m.liveMembers()
	if !m.isWriteTurn(live) {
		return
	}
	m.mu.Lock()
	record := m.core.record
	m.mu.Unlock()
	proofs := m.proveDead(ctx, record.Newest().Members)
	now := m.now()
	start, ok := takeoverStart(now, record, proofs)
	if !ok {
		return
	}
	m.mu.Lock()
	if m.core.record != record || m.leaving {
		m.mu.Unlock()
		return
	}
	p := m.core.takeOver(now, start, m.newEpochMembers(live), platform.NewWriteID())
	m.mu.Unlock()
	m.config.Log.Warn().Str("service", m.config.Service).Uint64("epoch", record.Newest().Number+1).
		Int("proved_dead", len(proofs)).Msg("taking over ownership: no member can write the record")
	m.sendProposal(ctx, p)
}

// proveDead asks the process at each member's address for its incarnation. A higher one
// than the member's proves that the member has ended. The result maps each member that is
// proved to have ended to the start of the process that replaced it, in unix
// milliseconds. It is incomplete when a member may still be alive.
func (m *Manager) proveDead(ctx context.Context, members []Member) map[Identity]int64 {
	proofs := make(map[Identity]int64)
	for _, member := range members {
		incarnation, ok := m.identify(ctx, member)
		if !ok || incarnation <= member.Incarnation {
			// A single member that may be alive prevents a takeover before valid_until.
			return proofs
		}
		proofs[member.Identity] = time.Unix(0, int64(incarnation)).UnixMilli()
	}
	return proofs
}

// identify returns the incarnation of the process at a member's address; ok is false
// when the call to it fails.
func (m *Manager) identify(ctx context.Context, member Member) (incarnation uint64, ok bool) {
	if member.Address == m.config.Self.Address {
		return m.config.Self.Incarnation, true
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	response, err := m.client(member).Identify(ctx, connect.NewRequest(&peerv1.IdentifyRequest{}))
	if err != nil {
		return 0, false
	}
	return response.Msg.Incarnation, true
}
