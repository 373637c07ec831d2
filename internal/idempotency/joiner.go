package idempotency

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

const (
	// joinRetry is how often a process that is not a member asks to be one.
	joinRetry = time.Second
	// fullRetry is how often it asks while there are as many members as allowed;
	// the answer carries the record that it needs to find the owners.
	fullRetry = 10 * time.Second
)

// join makes one step towards membership: it asks a member, and when none
// answers it reads the record and, when nobody else may write, writes it.
func (m *Manager) join(ctx context.Context) {
	if !m.joinDue() {
		return
	}
	if m.askToJoin(ctx) || !m.platformReady() {
		return
	}
	found, ok := m.readIfPresent(ctx)
	if !ok || m.isMember() {
		return
	}
	if !found {
		m.createRecord(ctx)
		return
	}
	m.takeOver(ctx)
}

func (m *Manager) joinDue() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.nextJoin {
		return false
	}
	m.nextJoin = now + joinRetry.Milliseconds()
	return true
}

// askToJoin asks one process that may be a member, another one each time. It
// returns whether that process will add this one.
func (m *Manager) askToJoin(ctx context.Context) bool {
	others := m.joinTargets()
	if len(others) == 0 {
		return false
	}
	target := others[m.attempts%len(others)]
	m.attempts++
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
		m.waitIfFull()
	}
	return response.Msg.Accepted
}

// waitIfFull delays the next request to join while no member can be added.
func (m *Manager) waitIfFull() {
	now := m.now()
	wait := fullRetry/2 + time.Duration(m.config.Random()*float64(fullRetry)/2)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.record != nil && len(m.core.record.Newest().Members) >= m.config.MaxMembers {
		m.nextJoin = now + wait.Milliseconds()
	}
}

// joinSoon ends that delay when the record may be out of date.
func (m *Manager) joinSoon() {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextJoin = min(m.nextJoin, now+joinRetry.Milliseconds())
}

// joinTargets returns the live members of the newest epoch known, in the order
// in which they write, and all live processes of the service when there are
// none.
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
		return ranked(m.config.Service, members)
	}
	return ranked(m.config.Service, all)
}

// isTurn reports whether this process should write a record for the live
// processes: the first ranked one does, the others later.
func (m *Manager) isTurn(live []Member) bool {
	now := m.now()
	wait := joinBatch
	for _, member := range ranked(m.config.Service, live) {
		if member.Identity == m.self() {
			break
		}
		wait += rankWait
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wanted.at == 0 {
		m.wanted.at = now
	}
	return now >= m.wanted.at+wait.Milliseconds()
}

func (m *Manager) liveMembers() []Member {
	var members []Member
	for _, member := range m.live() {
		members = append(members, member)
	}
	return ranked(m.config.Service, members)
}

// owners returns the live processes that become members of a record written by
// a process that is not one.
func (m *Manager) owners(live []Member) []Member {
	return live[:min(len(live), m.config.MaxMembers)]
}

// createRecord writes the service's first record.
func (m *Manager) createRecord(ctx context.Context) {
	live := m.liveMembers()
	if !m.isTurn(live) {
		return
	}
	now := m.now()
	m.mu.Lock()
	if m.core.record != nil || m.leaving {
		m.mu.Unlock()
		return
	}
	p := m.core.create(now, m.config.Service, m.owners(live), platform.NewWriteID())
	m.mu.Unlock()
	m.attempt(ctx, p)
}

// takeOver writes the next epoch when nobody else can: all members are proved
// dead, or the record has expired.
func (m *Manager) takeOver(ctx context.Context) {
	live := m.liveMembers()
	if !m.isTurn(live) {
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
	p := m.core.takeOver(now, start, m.owners(live), platform.NewWriteID())
	m.mu.Unlock()
	m.config.Log.Warn().Str("service", m.config.Service).Uint64("epoch", record.Newest().Number+1).
		Int("proved_dead", len(proofs)).Msg("taking over ownership from members that are gone")
	m.attempt(ctx, p)
}

// proveDead asks the process at each member's address who it is. A newer
// incarnation proves that the member has ended; the result holds its start in
// unix milliseconds.
func (m *Manager) proveDead(ctx context.Context, members []Member) map[Identity]int64 {
	proofs := make(map[Identity]int64)
	for _, member := range members {
		incarnation, ok := m.identify(ctx, member)
		if !ok || incarnation <= member.Incarnation {
			// One member that may be alive is enough to stop.
			return proofs
		}
		proofs[member.Identity] = time.Unix(0, int64(incarnation)).UnixMilli()
	}
	return proofs
}

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
