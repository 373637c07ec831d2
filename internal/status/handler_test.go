package status_test

import (
	"context"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/status"
)

// handler serves the PushStatus RPC of one reporter.
type handler struct {
	peerv1.UnimplementedPeerServiceHandler
	reporter *status.Reporter
}

func (h *handler) PushStatus(ctx context.Context, r *connect.Request[peerv1.PushStatusRequest]) (*connect.Response[peerv1.PushStatusResponse], error) {
	return h.reporter.PushStatus(ctx, r)
}
