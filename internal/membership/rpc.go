package membership

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// maxServedSyncs bounds the tables served at one time: a whole table of 16,000
// members is about 2 MB, and all nodes may start at once.
const maxServedSyncs = 4

// SyncMembers serves the RPC of that name.
func (m *Memberlist) SyncMembers(_ context.Context, request *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	select {
	case m.syncSlot <- struct{}{}:
		defer func() { <-m.syncSlot }()
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.Errorf("membership: %d exchanges are running; ask another member", maxServedSyncs))
	}
	response := m.serveSync(request.Msg)
	if response == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("membership: the view of this node is stale; ask another member"))
	}
	m.poke()
	return connect.NewResponse(response), nil
}

func (m *Memberlist) serveSync(request *peerv1.SyncMembersRequest) *peerv1.SyncMembersResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.core.answersSync(now) {
		return nil
	}
	return m.core.answerSync(now, request)
}

// synchronise runs one anti-entropy round with a peer.
func (m *Memberlist) synchronise(target syncTarget) {
	ctx, cancel := context.WithTimeout(m.running, m.cfg.SyncTimeout)
	defer cancel()
	err := m.exchange(ctx, target)
	m.mu.Lock()
	m.core.endSync(time.Now(), err != nil)
	m.mu.Unlock()
	m.poke()
}

func (m *Memberlist) exchange(ctx context.Context, target syncTarget) error {
	client := m.cfg.Client(target.peerAddress)
	m.mu.Lock()
	request := m.core.syncRequest(target.full)
	m.mu.Unlock()
	response, err := client.SyncMembers(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	m.mu.Lock()
	give := m.core.finishSync(time.Now(), target, response.Msg)
	m.mu.Unlock()
	if give == nil {
		return nil
	}
	_, err = client.SyncMembers(ctx, connect.NewRequest(give))
	return err
}

// Digests returns the digest of each bucket of the table, for diagnosis and
// measurement: two nodes with equal digests have the same view.
func (m *Memberlist) Digests() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.digests()
}
