package node

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/idempotency"
	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// control serves the PeerService to other nodes. It passes each RPC except Identify to
// the component that implements it.
type control struct {
	peerv1.UnimplementedPeerServiceHandler
	node *Node
}

// SyncMembers implements peerv1.PeerServiceHandler.
func (c *control) SyncMembers(ctx context.Context, r *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	return c.node.members.SyncMembers(ctx, r)
}

// GetSettings implements peerv1.PeerServiceHandler.
func (c *control) GetSettings(ctx context.Context, r *connect.Request[peerv1.GetSettingsRequest]) (*connect.Response[peerv1.GetSettingsResponse], error) {
	return c.node.syncer.GetSettings(ctx, r)
}

// PushStatus implements peerv1.PeerServiceHandler.
func (c *control) PushStatus(ctx context.Context, r *connect.Request[peerv1.PushStatusRequest]) (*connect.Response[peerv1.PushStatusResponse], error) {
	if c.node.reporter == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this node runs without a platform and accepts no status reports"))
	}
	return c.node.reporter.PushStatus(ctx, r)
}

// Identify implements peerv1.PeerServiceHandler.
func (c *control) Identify(context.Context, *connect.Request[peerv1.IdentifyRequest]) (*connect.Response[peerv1.IdentifyResponse], error) {
	self := c.node.members.Self()
	return connect.NewResponse(&peerv1.IdentifyResponse{
		Id:          self.ID,
		Incarnation: self.Incarnation,
		Leaving:     c.node.callerDrain.Draining(),
	}), nil
}

// AcquireExecution implements peerv1.PeerServiceHandler.
func (c *control) AcquireExecution(ctx context.Context, r *connect.Request[peerv1.AcquireExecutionRequest]) (*connect.Response[peerv1.AcquireExecutionResponse], error) {
	manager, err := c.manager(r.Msg.Service)
	if err != nil {
		return nil, err
	}
	return manager.AcquireExecution(ctx, r)
}

// CompleteExecution implements peerv1.PeerServiceHandler.
func (c *control) CompleteExecution(ctx context.Context, r *connect.Request[peerv1.CompleteExecutionRequest]) (*connect.Response[peerv1.CompleteExecutionResponse], error) {
	manager, err := c.manager(r.Msg.Service)
	if err != nil {
		return nil, err
	}
	return manager.CompleteExecution(ctx, r)
}

// RenewLease implements peerv1.PeerServiceHandler.
func (c *control) RenewLease(ctx context.Context, r *connect.Request[peerv1.RenewLeaseRequest]) (*connect.Response[peerv1.RenewLeaseResponse], error) {
	manager, err := c.manager(r.Msg.Service)
	if err != nil {
		return nil, err
	}
	return manager.RenewLease(ctx, r)
}

// JoinOwnership implements peerv1.PeerServiceHandler.
func (c *control) JoinOwnership(ctx context.Context, r *connect.Request[peerv1.JoinOwnershipRequest]) (*connect.Response[peerv1.JoinOwnershipResponse], error) {
	manager, err := c.manager(r.Msg.Service)
	if err != nil {
		return nil, err
	}
	return manager.JoinOwnership(ctx, r)
}

// manager returns the idempotency manager of a service, or a NotFound error if this
// node has none for it.
func (c *control) manager(service string) (*idempotency.Manager, error) {
	if manager := c.node.ownership.managerOf(service); manager != nil {
		return manager, nil
	}
	return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("this node manages no idempotency keys of service %q", service))
}
