package idempotency

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// maxReportCalls bounds the reports on their way at a time.
	maxReportCalls = 32
	// ownerRest is how long an owner that failed to take a report gets no other,
	// so that one dead owner does not hold up the reports to the others.
	ownerRest = 1000
)

// Complete implements Guard.
func (m *Manager) Complete(_ context.Context, service string, key, attempt uuid.UUID, run resultcode.Execution, status int) {
	if service != m.config.Service {
		return
	}
	if m.takeReport(key, attempt, run, status) {
		return
	}
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports.add(&report{reportID: reportID{key, attempt}, run: run, status: status, due: now})
	m.signal()
}

// deliverReports starts sending the reports that are due to the owners of their
// keys.
func (m *Manager) deliverReports(ctx context.Context, group *sync.WaitGroup) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := now - m.core.config.window.Milliseconds()
	for _, r := range m.reports.take(now, oldest, maxReportCalls-m.reports.sending) {
		group.Go(func() {
			delivered := m.deliver(ctx, r)
			now := m.now()
			m.mu.Lock()
			defer m.mu.Unlock()
			m.reports.done(now, r, delivered)
		})
	}
}

func (m *Manager) deliver(ctx context.Context, r report) bool {
	owner, _, err := m.ownerOf(r.key)
	if err != nil || m.resting(owner.Identity) {
		return false
	}
	if m.takeReport(r.key, r.attempt, r.run, r.status) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	_, err = m.client(owner).CompleteExecution(ctx, connect.NewRequest(&peerv1.CompleteExecutionRequest{
		Service:   m.config.Service,
		Key:       r.key[:],
		Attempt:   r.attempt[:],
		Execution: executionToProto(r.run),
		Status:    uint32(r.status),
	}))
	if err != nil {
		m.rest(owner.Identity)
	}
	return err == nil
}

func (m *Manager) resting(owner Identity) bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.reports.rests[owner]
}

func (m *Manager) rest(owner Identity) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports.rests[owner] = now + ownerRest
}
