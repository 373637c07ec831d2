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
	// leaseRetryInterval is the time until an unacknowledged lease is sent again. The
	// lease is not extended until it is acknowledged, so that the leases given to a
	// crashed member end, and a new epoch may start, one lease duration after the
	// first renewal that failed.
	leaseRetryInterval = time.Second
)

// leaseRenewal is the state of this member's lease renewals to another member.
// Times are unix milliseconds.
type leaseRenewal struct {
	// inFlight is set while a renewal has no response yet.
	inFlight bool
	// failed is set when the latest renewal that is no longer in flight was not
	// acknowledged.
	failed bool
	// sent is when the latest renewal was sent.
	sent int64
	// epoch is that of the latest acknowledged renewal, and version that of the latest
	// record that the member acknowledged. A zero epoch makes a renewal due; a zero version
	// does so too and makes that renewal carry the record.
	epoch   uint64
	version int64
}

// isDue reports whether a renewal should be sent under the current record r.
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

// renewLeases starts the renewals that are due. Their goroutines belong to group.
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
		renewal := m.renewal(member.Identity)
		if !renewal.isDue(now, m.core.record) {
			continue
		}
		request, ok := m.leaseRequest(now, member, renewal)
		if !ok {
			continue
		}
		renewal.inFlight = true
		renewal.sent = now
		group.Go(func() { m.sendLease(ctx, member, renewal, request) })
	}
}

// renewal returns the state of the renewals to a member, which it adds if there is none.
// The caller holds mu.
func (m *Manager) renewal(id Identity) *leaseRenewal {
	renewal, ok := m.renewals[id]
	if !ok {
		renewal = &leaseRenewal{}
		m.renewals[id] = renewal
	}
	return renewal
}

// leaseRequest returns the next renewal for a member and records the lease in it, which
// must happen before the renewal is sent. It returns false when no lease may be given.
// The caller holds mu.
func (m *Manager) leaseRequest(now int64, to Member, renewal *leaseRenewal) (*peerv1.RenewLeaseRequest, bool) {
	until, ok := m.core.giveLease(now, to.Identity, !renewal.failed)
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
	if renewal.version != m.core.record.Version {
		request.Record = m.core.record.toProto()
	}
	return request, true
}

// sendLease sends a renewal and records whether the member acknowledged it.
func (m *Manager) sendLease(ctx context.Context, to Member, renewal *leaseRenewal, request *peerv1.RenewLeaseRequest) {
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	response, err := m.client(to).RenewLease(ctx, connect.NewRequest(request))
	m.mu.Lock()
	defer m.mu.Unlock()
	renewal.inFlight = false
	recovered := err == nil && renewal.failed
	renewal.failed = err != nil
	if err != nil {
		return
	}
	renewal.epoch = request.Epoch
	if request.Record != nil {
		renewal.version = request.Record.Version
	}
	if recovered {
		// The acknowledged lease was not extended, so the next renewal is due now.
		renewal.epoch = 0
		m.signal()
	}
	if response.Msg.Epoch > m.core.record.Newest().Number {
		m.behind = true
	}
}

// resendRecord makes the next renewal to a member with an older epoch carry the record.
// That renewal is due immediately, unless the latest one is in flight or failed. The
// caller holds mu.
func (m *Manager) resendRecord(id Identity) {
	if renewal, ok := m.renewals[id]; ok {
		renewal.version = 0
		m.signal()
	}
}

// pruneRenewals removes the state for processes that are not members of the
// newest epoch. The caller holds mu.
func (m *Manager) pruneRenewals(newest Epoch) {
	for id := range m.renewals {
		if !newest.Has(id) {
			delete(m.renewals, id)
		}
	}
}
