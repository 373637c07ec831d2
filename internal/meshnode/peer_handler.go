package meshnode

import (
	"context"

	"github.com/mustardwing/mustardwing/internal/gossip"
	"github.com/mustardwing/mustardwing/internal/h1"
)

// peerHandler serves the requests of peer nodes: gossip messages and calls for the local upstream.
type peerHandler struct {
	node *Node
}

var _ h1.Refuser = peerHandler{}

// Serve implements h1.Handler.
func (p peerHandler) Serve(ctx context.Context, r *h1.Request) *h1.Response {
	if r.Target == gossip.Path {
		return p.node.gossiper.Serve(ctx, r)
	}
	return p.node.upstream.Serve(ctx, r)
}

// Refuse implements h1.Refuser.
func (p peerHandler) Refuse(r *h1.Request) *h1.Response {
	return p.node.upstream.Refuse(r)
}
