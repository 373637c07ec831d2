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
	// maxReportsInFlight bounds the reports that are being sent concurrently.
	maxReportsInFlight = 32
	// ownerBackoffMs is how long no report is sent to an owner after it failed to
	// acknowledge one, in milliseconds. It keeps one dead owner from delaying the reports
	// to the others.
	ownerBackoffMs = 1000
)

// Complete implements Guard.
func (m *Manager) Complete(_ context.Context, service string, key, attempt uuid.UUID, execution resultcode.Execution, status int) {
	if service != m.config.Service {
		return
	}
	if m.applyReport(key, attempt, execution, status) {
		return
	}
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports.add(&report{reportID: reportID{key, attempt}, execution: execution, status: status, due: now})
	m.signal()
}

// sendReports starts sending the due reports to the owners of their keys, as many as
// maxReportsInFlight permits. The goroutines belong to group.
func (m *Manager) sendReports(ctx context.Context, group *sync.WaitGroup) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := now - m.core.config.window.Milliseconds()
	for _, r := range m.reports.takeDue(now, oldest, maxReportsInFlight-m.reports.inFlight) {
		group.Go(func() {
			acknowledged := m.sendReport(ctx, r)
			now := m.now()
			m.mu.Lock()
			defer m.mu.Unlock()
			m.reports.done(now, r, acknowledged)
		})
	}
}

// sendReport sends a report to the owner of its key, or applies it when this process is
// the owner, and returns whether the owner acknowledged it. It sends nothing and returns
// false while the record names no owner or the owner is in backoff.
func (m *Manager) sendReport(ctx context.Context, r report) bool {
	owner, _, err := m.ownerOf(r.key)
	if err != nil || m.inBackoff(owner.Identity) {
		return false
	}
	if m.applyReport(r.key, r.attempt, r.execution, r.status) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	_, err = m.client(owner).CompleteExecution(ctx, connect.NewRequest(&peerv1.CompleteExecutionRequest{
		Service:   m.config.Service,
		Key:       r.key[:],
		Attempt:   r.attempt[:],
		Execution: executionToProto(r.execution),
		Status:    uint32(r.status),
	}))
	if err != nil {
		m.startBackoff(owner.Identity)
	}
	return err == nil
}

// inBackoff reports whether no report may be sent to an owner now, because sending one to
// it failed recently.
func (m *Manager) inBackoff(owner Identity) bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.reports.backoffUntil[owner]
}

func (m *Manager) startBackoff(owner Identity) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports.backoffUntil[owner] = now + ownerBackoffMs
}
