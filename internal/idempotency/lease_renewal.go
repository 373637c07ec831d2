package idempotency

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

const (
	// leaseRenewalPeriod is how often a lease is extended.
	leaseRenewalPeriod = 2 * time.Second
	// leaseRetryInterval is how soon an unacknowledged lease is sent again. It is not
	// extended meanwhile, so that the lease of a crashed member ends, and a new
	// epoch may start, one lease after the first renewal that failed.
	leaseRetryInterval = time.Second
)

// leaseRenewal is what a member knows about its exchange of leases with another.
// Times are unix milliseconds.
type leaseRenewal struct {
	inFlight bool
	// failed is set while the latest renewal is not acknowledged.
	failed bool
	sent   int64
	// epoch and version are those of the latest acknowledged renewal.
	epoch   uint64
	version int64
}

// isDue reports whether a renewal should be sent.
func (l *leaseRenewal) isDue(now int64, r *Record) bool {
	if l.inFlight {
		return false
	}
	if l.failed {
		return now >= l.sent+leaseRetryInterval.Milliseconds()
	}
	if l.epoch != r.Newest().Number || l.version != r.Version {
		return true
	}
	return now >= l.sent+leaseRenewalPeriod.Milliseconds()
}

// renewLeases starts the renewals that are due.
func (m *Manager) renewLeases(ctx context.Context, group *sync.WaitGroup) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.isMember() {
		return
	}
	if m.core.grantLimit() > now {
		m.lastProvable = now
	}
	for _, member := range m.core.record.Newest().Members {
		if member.Identity == m.self() {
			continue
		}
		link := m.renewal(member.Identity)
		if !link.isDue(now, m.core.record) {
			continue
		}
		request, ok := m.leaseRequest(now, member, link)
		if !ok {
			continue
		}
		link.inFlight = true
		link.sent = now
		group.Go(func() { m.sendLease(ctx, member, link, request) })
	}
}

func (m *Manager) renewal(id Identity) *leaseRenewal {
	link, ok := m.renewals[id]
	if !ok {
		link = &leaseRenewal{}
		m.renewals[id] = link
	}
	return link
}

// leaseRequest records the lease before it is sent. The caller holds mu.
func (m *Manager) leaseRequest(now int64, to Member, link *leaseRenewal) (*peerv1.RenewLeaseRequest, bool) {
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

func (m *Manager) sendLease(ctx context.Context, to Member, link *leaseRenewal, request *peerv1.RenewLeaseRequest) {
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	response, err := m.client(to).RenewLease(ctx, connect.NewRequest(request))
	m.mu.Lock()
	defer m.mu.Unlock()
	link.inFlight = false
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

// resendRecord has the record sent again to a member that is behind.
func (m *Manager) resendRecord(id Identity) {
	if link, ok := m.renewals[id]; ok {
		link.version = 0
		m.signal()
	}
}

// pruneRenewals forgets the members that are in no epoch any more.
func (m *Manager) pruneRenewals(newest Epoch) {
	for id := range m.renewals {
		if !newest.Has(id) {
			delete(m.renewals, id)
		}
	}
}
