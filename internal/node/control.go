package node

import (
	"context"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// control serves the RPCs of other nodes by passing them to the part concerned.
type control struct {
	peerv1.UnimplementedPeerServiceHandler
	node *Node
}

// SyncMembers implements peerv1.PeerServiceHandler.
func (c *control) SyncMembers(ctx context.Context, r *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	return c.node.members.SyncMembers(ctx, r)
}

// Identify implements peerv1.PeerServiceHandler.
func (c *control) Identify(context.Context, *connect.Request[peerv1.IdentifyRequest]) (*connect.Response[peerv1.IdentifyResponse], error) {
	self := c.node.members.Self()
	return connect.NewResponse(&peerv1.IdentifyResponse{
		Id:          self.ID,
		Incarnation: self.Incarnation,
		Leaving:     c.node.callers.Draining(),
	}), nil
}
