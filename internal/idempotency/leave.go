package idempotency

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Leave removes this process from the ownership record while it still serves, unless the
// platform is unavailable. Whether or not it was removed, Leave then sends the other
// members unlimited leases, so that their grants no longer depend on its renewals. It
// fails when the outcome of a write that adds an epoch is still unknown at the end of
// ctx; the other members then refuse keys issued at or after the start of that epoch
// until these members reach the platform. It also fails, with the same error, when ctx
// ends while another goroutine reads or writes the record. Run must continue during
// Leave; the caller ends it afterwards.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	if !m.lockRecord(ctx) {
		return m.pendingWriteError()
	}
	defer m.unlockRecord()
	for m.isMember() {
		if !m.resolveProposal(ctx) {
			return m.pendingWriteError()
		}
		if !m.readRecord(ctx) {
			break
		}
		if p := m.proposeLeave(); p != nil {
			m.sendProposal(ctx, p)
		}
		if m.isMember() && !sleepTick(ctx) {
			break
		}
	}
	m.mu.Lock()
	left := m.core.leave()
	m.mu.Unlock()
	if !left {
		return m.pendingWriteError()
	}
	m.sendUnlimitedLeases(ctx)
	return nil
}

func (m *Manager) pendingWriteError() error {
	return resultcode.New(resultcode.PlatformUnavailable,
		"service %q: the outcome of a write of the ownership record is unknown", m.config.Service)
}

// resolveProposal resends a pending change of members until its outcome is known. A
// proposal whose start is unlimited only extends valid_until and stays as it is.
// resolveProposal returns false when ctx ends first.
func (m *Manager) resolveProposal(ctx context.Context) bool {
	for {
		p := m.pendingProposal()
		if p == nil || p.start == unlimited {
			return true
		}
		m.sendProposal(ctx, p)
		if m.pendingProposal() != p {
			continue
		}
		if !sleepTick(ctx) {
			return false
		}
	}
}

// proposeLeave proposes the removal of this process. It returns nil when this process
// must not write now.
func (m *Manager) proposeLeave() *proposal {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.propose(now, memberChange{remove: []Identity{m.self()}}, platform.NewWriteID())
}

// sendUnlimitedLeases sends every other member an unlimited lease with the newest
// record. It sends a lease a second time when the first call fails, for whatever reason.
func (m *Manager) sendUnlimitedLeases(ctx context.Context) {
	m.mu.Lock()
	record := m.core.record
	m.mu.Unlock()
	if record == nil {
		return
	}
	var group sync.WaitGroup
	for _, member := range record.Newest().Members {
		if member.Identity == m.self() {
			continue
		}
		group.Go(func() {
			for range 2 {
				if m.sendUnlimitedLease(ctx, member, record) {
					return
				}
			}
		})
	}
	group.Wait()
}

func (m *Manager) sendUnlimitedLease(ctx context.Context, to Member, record *Record) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	_, err := m.client(to).RenewLease(ctx, connect.NewRequest(&peerv1.RenewLeaseRequest{
		Service:     m.config.Service,
		From:        m.config.Self.toProto(),
		To:          to.toProto(),
		Epoch:       record.Newest().Number,
		UntilUnixMs: unlimited,
		Record:      record.toProto(),
	}))
	return err == nil
}
