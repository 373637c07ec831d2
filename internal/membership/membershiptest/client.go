package membershiptest

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// client calls handlers in the same process. A call of a method that it does not
// implement panics, since the embedded interface is nil.
type client struct {
	peerv1.PeerServiceClient
	network       *Network
	host, address string
}

// Client returns a function that returns the RPC client with which host calls the peer
// address passed to the function.
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

// call makes one RPC through the faults of the network. TCP retransmits lost segments,
// so only partitions, pauses and missing servers make it fail.
func call[Q, R any](ctx context.Context, c *client, name string, request *connect.Request[Q], f method[Q, R]) (*connect.Response[R], error) {
	c.network.waitResumed(c.host)
	server, requestArrives, responseArrives := c.network.lookup(c.host, c.address, name)
	if server == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Errorf("no server at %s", c.address))
	}
	if err := transit(ctx, c.network, requestArrives); err != nil {
		return nil, err
	}
	response, err := serve(ctx, c.network, server, request, f)
	if transitErr := transit(ctx, c.network, responseArrives); transitErr != nil {
		return nil, transitErr
	}
	c.network.waitResumed(c.host)
	if ctx.Err() != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	return response, err
}

// serve calls the handler. The client may time out while the server is paused; the
// handler is then still called when the server resumes, as for a request in a socket
// buffer.
func serve[Q, R any](ctx context.Context, n *Network, server *registeredHandler, request *connect.Request[Q], f method[Q, R]) (*connect.Response[R], error) {
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

// lookup counts an RPC and returns the server at an address and whether requests and
// responses pass the partition. server is nil when no handler is registered there.
func (n *Network) lookup(host, address, method string) (server *registeredHandler, requestArrives, responseArrives bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rpcs[method]++
	server = n.handlers[address]
	if server == nil {
		return nil, false, false
	}
	requestArrives = n.partitioned == nil || !n.partitioned(host, server.host)
	responseArrives = n.partitioned == nil || !n.partitioned(server.host, host)
	return server, requestArrives, responseArrives
}

// transit waits for the one-way delay of a message, or until ctx ends if the message does
// not arrive. It fails when ctx ends.
func transit(ctx context.Context, n *Network, arrives bool) error {
	if !arrives {
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
