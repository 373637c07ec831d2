package idempotency

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// maxOwnerRequests bounds the owners asked in one acquisition: the owner in this
	// node's record, and the owner in a newer record that the response carried.
	maxOwnerRequests = 2
	// inProgressWait is the wait before a key that another attempt holds is
	// requested a second time. A call that was not run moves to another node
	// immediately, and its next attempt there may overtake the report to the owner.
	inProgressWait = 5 * time.Millisecond
)

// Acquire implements Guard.
func (m *Manager) Acquire(ctx context.Context, service string, key, attempt uuid.UUID) error {
	if service != m.config.Service {
		return resultcode.New(resultcode.OwnerUnavailable,
			"service %q is not the service of this node's upstream, %q", service, m.config.Service)
	}
	if _, err := IssueTime(key); err != nil {
		return err
	}
	result, err := m.acquireFromOwner(ctx, key, attempt)
	if err == nil && result.State == Running && sleep(ctx, inProgressWait) {
		result, err = m.acquireFromOwner(ctx, key, attempt)
	}
	if err != nil {
		return err
	}
	return acquireError(key, result)
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// acquireFromOwner returns the owner's decision, which is never NotOwner. When it
// returns an error, the owner's decision is not known and the attempt must not run.
func (m *Manager) acquireFromOwner(ctx context.Context, key, attempt uuid.UUID) (AcquireResult, error) {
	for range maxOwnerRequests {
		owner, version, err := m.ownerOf(key)
		if err != nil {
			return AcquireResult{}, err
		}
		result, err := m.requestAcquire(ctx, owner, key, attempt)
		if err != nil {
			// The owner may have granted the key; the report releases it.
			m.Complete(ctx, m.config.Service, key, attempt, resultcode.NotRun, 0)
			return AcquireResult{}, m.ownerError(owner, key, err)
		}
		if result.State != NotOwner {
			return result, nil
		}
		if m.recordVersion() == version {
			return AcquireResult{}, m.ownerError(owner, key, nil)
		}
	}
	return AcquireResult{}, resultcode.New(resultcode.OwnerUnavailable, "the owner of key %s is changing", key)
}

// ownerOf returns the key's owner in this node's record, and the record's version. It
// fails with OwnerUnavailable or KeyTooOld when the record names no owner.
func (m *Manager) ownerOf(key uuid.UUID) (Member, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.core.record
	if r == nil {
		return Member{}, 0, resultcode.New(resultcode.OwnerUnavailable,
			"no ownership record of service %q is known yet", m.config.Service)
	}
	epoch, ok := r.EpochOf(issuedAt(key))
	if !ok {
		return Member{}, 0, resultcode.New(resultcode.KeyTooOld,
			"key %s was issued before the oldest epoch kept", key)
	}
	owner, ok := epoch.Owner(key)
	if !ok {
		return Member{}, 0, resultcode.New(resultcode.OwnerUnavailable,
			"service %q has no owners", m.config.Service)
	}
	return owner, r.Version, nil
}

// recordVersion returns the version of the current record, or zero before the first one.
func (m *Manager) recordVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.record == nil {
		return 0
	}
	return m.core.record.Version
}

// requestAcquire requests the key from its owner. When it returns an error, the
// owner may have granted the key.
func (m *Manager) requestAcquire(ctx context.Context, owner Member, key, attempt uuid.UUID) (AcquireResult, error) {
	if owner.Identity == m.self() {
		return m.acquireLocally(key, attempt), nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.RPCTimeout)
	defer cancel()
	response, err := m.client(owner).AcquireExecution(ctx, connect.NewRequest(&peerv1.AcquireExecutionRequest{
		Service: m.config.Service, Key: key[:], Attempt: attempt[:],
	}))
	if err != nil {
		return AcquireResult{}, err
	}
	m.adoptMessage(response.Msg.Record)
	return AcquireResult{State: stateFromProto(response.Msg.State), Status: int(response.Msg.Status)}, nil
}

// acquireLocally decides on an acquisition when this process is asked as the
// owner.
func (m *Manager) acquireLocally(key, attempt uuid.UUID) AcquireResult {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.core.acquire(now, key, attempt)
	m.stats.count(a.State)
	return a
}

// ownerError returns the error for a key whose owner did not decide: the call to the owner
// failed with cause or, if cause is nil, the owner responded with NotOwner. An owner that
// is neither a member of the newest epoch nor live has departed: the outcome of the keys
// that it granted stays unknown. The record may be out of date, so ownerError also
// shortens the join delay.
func (m *Manager) ownerError(owner Member, key uuid.UUID, cause error) error {
	m.endJoinDelay()
	m.mu.Lock()
	record := m.core.record
	m.mu.Unlock()
	if record.Newest().Has(owner.Identity) {
		return resultcode.Wrap(cause, resultcode.OwnerUnavailable, "owner %s of key %s cannot prove its ownership now", owner.ID, key)
	}
	if _, alive := m.live()[owner.Identity]; alive {
		return resultcode.Wrap(cause, resultcode.OwnerUnavailable, "former owner %s of key %s did not decide", owner.ID, key)
	}
	return resultcode.Wrap(cause, resultcode.KeyUnknown, "owner %s of key %s has departed", owner.ID, key)
}

// acquireError returns the error for a decision, nil for Granted.
func acquireError(key uuid.UUID, a AcquireResult) error {
	switch a.State {
	case Granted:
		return nil
	case Running:
		return resultcode.New(resultcode.KeyInProgress, "another attempt holds key %s", key)
	case Completed:
		return resultcode.Wrap(&completedError{a.Status}, resultcode.KeyCompleted, "the call with key %s has already run", key)
	case Unknown:
		return resultcode.New(resultcode.KeyUnknown, "an earlier attempt with key %s ended without a known outcome", key)
	case TooOld:
		return resultcode.New(resultcode.KeyTooOld, "key %s is older than the keys that its owner remembers", key)
	default:
		return resultcode.New(resultcode.OwnerUnavailable, "the owner of key %s cannot prove its ownership now", key)
	}
}

// completedError is the cause of a KeyCompleted error.
type completedError struct {
	status int
}

// Error implements error.
func (e *completedError) Error() string {
	return "the upstream responded to an earlier attempt"
}

// OriginalStatus returns the HTTP status of the original execution.
func (e *completedError) OriginalStatus() int {
	return e.status
}
