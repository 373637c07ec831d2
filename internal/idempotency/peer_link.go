package idempotency

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

const (
	// leasePeriod is how often a lease is extended.
	leasePeriod = 2 * time.Second
	// leaseRetry is how soon an unacknowledged lease is sent again. It is not
	// extended meanwhile, so that the lease of a crashed member ends, and a new
	// epoch may start, one lease after the first renewal that failed.
	leaseRetry = time.Second
)

// peerLink is what a member knows about its exchange of leases with another.
// Times are unix milliseconds.
type peerLink struct {
	busy bool
	// failed is set while the latest renewal is not acknowledged.
	failed bool
	sent   int64
	// epoch and version are those of the latest acknowledged renewal.
	epoch   uint64
	version int64
}

// due reports whether a renewal should be sent.
func (l *peerLink) due(now int64, r *Record) bool {
	if l.busy {
		return false
	}
	if l.failed {
		return now >= l.sent+leaseRetry.Milliseconds()
	}
	if l.epoch != r.Newest().Number || l.version != r.Version {
		return true
	}
	return now >= l.sent+leasePeriod.Milliseconds()
}

// renewLeases starts the renewals that are due.
func (m *Manager) renewLeases(ctx context.Context, group *sync.WaitGroup) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.isMember() {
		return
	}
	if m.core.horizon() > now {
		m.provable = now
	}
	for _, member := range m.core.record.Newest().Members {
		if member.Identity == m.self() {
			continue
		}
		link := m.link(member.Identity)
		if !link.due(now, m.core.record) {
			continue
		}
		request, ok := m.leaseRequest(now, member, link)
		if !ok {
			continue
		}
		link.busy = true
		link.sent = now
		group.Go(func() { m.sendLease(ctx, member, link, request) })
	}
}

func (m *Manager) link(id Identity) *peerLink {
	link, ok := m.peers[id]
	if !ok {
		link = &peerLink{}
		m.peers[id] = link
	}
	return link
}

// leaseRequest records the lease before it is sent. The caller holds mu.
func (m *Manager) leaseRequest(now int64, to Member, link *peerLink) (*peerv1.RenewLeaseRequest, bool) {
	until, ok := m.core.giveLease(now, to.Identity, !link.failed)
	if !ok {
		return nil, false
	}
	request := &peerv1.RenewLeaseRequest{
		Service:     m.config.Service,
		From:        m.config.Self.toProto(),
		To:          to.toProto(),
		Epoch:       m.core.record.Newest().Number,
		UntilUnixMs: until,
	}
	if link.version != m.core.record.Version {
		request.Record = m.core.record.toProto()
	}
	return request, true
}

func (m *Manager) sendLease(ctx context.Context, to Member, link *peerLink, request *peerv1.RenewLeaseRequest) {
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	response, err := m.client(to).RenewLease(ctx, connect.NewRequest(request))
	m.mu.Lock()
	defer m.mu.Unlock()
	link.busy = false
	recovered := err == nil && link.failed
	link.failed = err != nil
	if err != nil {
		return
	}
	link.epoch = request.Epoch
	if request.Record != nil {
		link.version = request.Record.Version
	}
	if recovered {
		// The lease just acknowledged was not extended.
		link.epoch = 0
		m.signal()
	}
	if response.Msg.Epoch > m.core.record.Newest().Number {
		m.behind = true
	}
}

// resend has the record sent again to a member that is behind.
func (m *Manager) resend(id Identity) {
	if link, ok := m.peers[id]; ok {
		link.version = 0
		m.signal()
	}
}

// prunePeers forgets the members that are in no epoch any more.
func (m *Manager) prunePeers(newest Epoch) {
	for id := range m.peers {
		if !newest.Has(id) {
			delete(m.peers, id)
		}
	}
}
