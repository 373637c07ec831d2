package membership

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// maxServedSyncs bounds the syncs served concurrently: the whole table of 16,000 members
// is about 2 MB, and all nodes may start and request it at the same time.
const maxServedSyncs = 4

// SyncMembers handles the SyncMembers RPC. It fails with ResourceExhausted while
// maxServedSyncs others are served, and with Unavailable while the view may be stale or
// once the node has left.
func (m *Memberlist) SyncMembers(_ context.Context, request *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	select {
	case m.syncSlots <- struct{}{}:
		defer func() { <-m.syncSlots }()
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.Errorf("membership: %d syncs are in progress; ask another member", maxServedSyncs))
	}
	response := m.serveSync(request.Msg)
	if response == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("membership: the view of this node is stale; ask another member"))
	}
	m.wakeUp()
	return connect.NewResponse(response), nil
}

// serveSync returns the response to a sync request, or nil while the node may not serve
// syncs.
func (m *Memberlist) serveSync(request *peerv1.SyncMembersRequest) *peerv1.SyncMembersResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.core.canServeSync(now) {
		return nil
	}
	return m.core.handleSyncRequest(now, request)
}

// synchronise runs one anti-entropy round with a peer.
func (m *Memberlist) synchronise(target syncTarget) {
	ctx, cancel := context.WithTimeout(m.runCtx, m.cfg.SyncTimeout)
	defer cancel()
	err := m.exchange(ctx, target)
	m.mu.Lock()
	m.core.endSync(time.Now(), err != nil)
	m.mu.Unlock()
	m.wakeUp()
}

// exchange fetches records from a peer and then sends the peer those that it lacks or has
// in an older version.
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
	push := m.core.handleSyncResponse(time.Now(), target, response.Msg)
	m.mu.Unlock()
	if push == nil {
		return nil
	}
	_, err = client.SyncMembers(ctx, connect.NewRequest(push))
	return err
}

// Digests returns the digest of each bucket of the table, for diagnosis and
// measurement: two nodes with equal digests have the same view, apart from suspicions and
// settings revisions.
func (m *Memberlist) Digests() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.digests()
}
