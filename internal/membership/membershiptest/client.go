package membershiptest

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// client calls handlers in the same process. Methods that the fake does not
// carry panic through the nil interface.
type client struct {
	peerv1.PeerServiceClient
	network       *Network
	host, address string
}

// Client returns the function by which a host reaches peer addresses.
func (n *Network) Client(host string) func(address string) peerv1.PeerServiceClient {
	return func(address string) peerv1.PeerServiceClient {
		return &client{network: n, host: host, address: address}
	}
}

// SyncMembers implements peerv1.PeerServiceClient.
func (c *client) SyncMembers(ctx context.Context, r *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	return call(ctx, c, "SyncMembers", r, peerv1.PeerServiceHandler.SyncMembers)
}

// GetSettings implements peerv1.PeerServiceClient.
func (c *client) GetSettings(ctx context.Context, r *connect.Request[peerv1.GetSettingsRequest]) (*connect.Response[peerv1.GetSettingsResponse], error) {
	return call(ctx, c, "GetSettings", r, peerv1.PeerServiceHandler.GetSettings)
}

// PushStatus implements peerv1.PeerServiceClient.
func (c *client) PushStatus(ctx context.Context, r *connect.Request[peerv1.PushStatusRequest]) (*connect.Response[peerv1.PushStatusResponse], error) {
	return call(ctx, c, "PushStatus", r, peerv1.PeerServiceHandler.PushStatus)
}

type method[Q, R any] func(peerv1.PeerServiceHandler, context.Context, *connect.Request[Q]) (*connect.Response[R], error)

// call runs one RPC over the network's faults. TCP repeats lost segments, so
// only cuts, pauses and missing servers make it fail.
func call[Q, R any](ctx context.Context, c *client, name string, request *connect.Request[Q], f method[Q, R]) (*connect.Response[R], error) {
	c.network.waitResumed(c.host)
	server, there, back := c.network.lookup(c.host, c.address, name)
	if server == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Errorf("no server at %s", c.address))
	}
	if err := travel(ctx, c.network, there); err != nil {
		return nil, err
	}
	response, err := serve(ctx, c.network, server, request, f)
	if lost := travel(ctx, c.network, back); lost != nil {
		return nil, lost
	}
	c.network.waitResumed(c.host)
	if ctx.Err() != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	return response, err
}

// serve runs the handler. While the server is paused its client may give up; the
// request then still runs when the server resumes, as one in a socket does.
func serve[Q, R any](ctx context.Context, n *Network, server *served, request *connect.Request[Q], f method[Q, R]) (*connect.Response[R], error) {
	type result struct {
		response *connect.Response[R]
		err      error
	}
	done := make(chan result, 1)
	go func() {
		n.waitResumed(server.host)
		response, err := f(server.handler, ctx, request)
		done <- result{response, err}
	}()
	select {
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	case r := <-done:
		return r.response, r.err
	}
}

// lookup returns the server of an address and whether each direction works.
func (n *Network) lookup(host, address, method string) (server *served, there, back bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rpcs[method]++
	server = n.handlers[address]
	if server == nil {
		return nil, false, false
	}
	there = n.cut == nil || !n.cut(host, server.host)
	back = n.cut == nil || !n.cut(server.host, host)
	return server, there, back
}

func travel(ctx context.Context, n *Network, works bool) error {
	if !works {
		<-ctx.Done()
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	n.mu.Lock()
	delay := n.delay()
	n.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	case <-time.After(delay):
		return nil
	}
}
