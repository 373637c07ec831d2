package idempotency

import (
	"context"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// errOtherMember refuses an RPC that was meant for another service or another process, for
// example one that used this address before.
var errOtherMember = errors.New("the ownership request names a process or service other than this node's")

// AcquireExecution decides, as the owner of a key, on an acquisition by another
// node of the service.
func (m *Manager) AcquireExecution(_ context.Context, r *connect.Request[peerv1.AcquireExecutionRequest]) (*connect.Response[peerv1.AcquireExecutionResponse], error) {
	key, attempt, err := m.parseRequest(r.Msg.Service, r.Msg.Key, r.Msg.Attempt)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	a := m.acquireLocally(key, attempt)
	response := &peerv1.AcquireExecutionResponse{State: statesToProto[a.State], Status: uint32(a.Status)}
	if a.State == NotOwner {
		response.Record = m.recordMessage()
	}
	return connect.NewResponse(response), nil
}

// CompleteExecution records, as the owner of a key, another node's report. When this
// process is not the owner, it ignores the report but still acknowledges it.
func (m *Manager) CompleteExecution(_ context.Context, r *connect.Request[peerv1.CompleteExecutionRequest]) (*connect.Response[peerv1.CompleteExecutionResponse], error) {
	key, attempt, err := m.parseRequest(r.Msg.Service, r.Msg.Key, r.Msg.Attempt)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	m.applyReport(key, attempt, executionFromProto(r.Msg.Execution), int(r.Msg.Status))
	return connect.NewResponse(&peerv1.CompleteExecutionResponse{}), nil
}

// applyReport records a report if this process is the key's owner, and returns
// whether it is.
func (m *Manager) applyReport(key, attempt uuid.UUID, execution resultcode.Execution, status int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.record == nil {
		return false
	}
	epoch, ok := m.core.record.EpochOf(issuedAt(key))
	if !ok {
		return false
	}
	if owner, ok := epoch.Owner(key); !ok || owner.Identity != m.self() {
		return false
	}
	m.core.complete(key, attempt, execution, status)
	return true
}

// RenewLease stores a lease from another member and adopts the record that it may carry.
// It fails with FailedPrecondition when the lease is for another process or service.
func (m *Manager) RenewLease(_ context.Context, r *connect.Request[peerv1.RenewLeaseRequest]) (*connect.Response[peerv1.RenewLeaseResponse], error) {
	message := r.Msg
	if message.Service != m.config.Service || memberFromProto(message.To).Identity != m.self() {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errOtherMember)
	}
	m.adoptMessage(message.Record)
	m.mu.Lock()
	defer m.mu.Unlock()
	from := memberFromProto(message.From)
	m.core.receiveLease(from.Identity, message.Epoch, message.UntilUnixMs)
	response := &peerv1.RenewLeaseResponse{}
	if m.core.record == nil {
		return connect.NewResponse(response), nil
	}
	response.Epoch = m.core.record.Newest().Number
	if message.Epoch < response.Epoch {
		m.resendRecord(from.Identity)
	}
	return connect.NewResponse(response), nil
}

// JoinOwnership accepts the join request of another process unless this process is not a
// member or is leaving, or the other one has departed. The next change of members adds the
// accepted process, unless there are already MaxMembers members. The response carries the
// known record in any case.
func (m *Manager) JoinOwnership(_ context.Context, r *connect.Request[peerv1.JoinOwnershipRequest]) (*connect.Response[peerv1.JoinOwnershipResponse], error) {
	if r.Msg.Service != m.config.Service {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errOtherMember)
	}
	member := memberFromProto(r.Msg.Member)
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	response := &peerv1.JoinOwnershipResponse{Record: m.core.record.toProto()}
	if m.core.isMember() && !m.leaving && !m.core.leases.departed[member.Identity] {
		m.addJoinRequest(now, member)
		response.Accepted = true
	}
	return connect.NewResponse(response), nil
}

// parseRequest checks the service of a request and decodes its key and attempt.
func (m *Manager) parseRequest(service string, key, attempt []byte) (k, a uuid.UUID, err error) {
	if service != m.config.Service {
		return k, a, errOtherMember
	}
	if k, err = uuid.FromBytes(key); err != nil {
		return k, a, errors.Wrap(err, "key")
	}
	if _, err = IssueTime(k); err != nil {
		return k, a, err
	}
	a, err = uuid.FromBytes(attempt)
	return k, a, errors.Wrap(err, "attempt")
}

func (m *Manager) recordMessage() *peerv1.OwnershipRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.record.toProto()
}

// adoptMessage adopts the record in a message. A nil or malformed one is ignored.
func (m *Manager) adoptMessage(message *peerv1.OwnershipRecord) {
	record, err := recordFromProto(m.config.Service, message)
	if err != nil || record == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.adopt(record)
}

// executionFromProto maps an unrecognized outcome to Unknown.
func executionFromProto(e peerv1.Execution) resultcode.Execution {
	switch e {
	case peerv1.Execution_EXECUTION_NOT_RUN:
		return resultcode.NotRun
	case peerv1.Execution_EXECUTION_RUN:
		return resultcode.Run
	default:
		return resultcode.Unknown
	}
}

func executionToProto(e resultcode.Execution) peerv1.Execution {
	switch e {
	case resultcode.NotRun:
		return peerv1.Execution_EXECUTION_NOT_RUN
	case resultcode.Run:
		return peerv1.Execution_EXECUTION_RUN
	default:
		return peerv1.Execution_EXECUTION_UNKNOWN
	}
}
