package idempotency

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

var (
	// errUnreachable leaves open whether the call reached its receiver; errNotSent
	// states that it did not.
	errUnreachable = errors.New("no connection")
	errNotSent     = notSent()
)

// notSent returns the error of a call that did not reach the platform.
func notSent() error {
	e := resultcode.New(resultcode.PlatformUnavailable, "no connection")
	e.Execution = resultcode.NotRun
	return e
}

// faultyClient is the RPC client of one process for one address. It injects the
// fleet's faults.
type faultyClient struct {
	peerv1.PeerServiceClient
	fleet *fleet
	from  *process
	to    string
}

type rpcResult[R any] struct {
	response *connect.Response[R]
	err      error
}

// call makes one RPC with the fleet's faults: the request or the response may be
// lost, a paused receiver handles the request late, and a duplicate of it may
// arrive up to 20 s later.
func call[Q, R any](ctx context.Context, c *faultyClient, q *connect.Request[Q], serve func(*Manager, context.Context, *connect.Request[Q]) (*connect.Response[R], error)) (*connect.Response[R], error) {
	c.from.waitWhilePaused(c.fleet)
	target, err := c.reach(c.from.member.Address, c.to)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			<-ctx.Done()
		}
		return nil, errUnreachable
	}
	done := make(chan rpcResult[R], 2)
	handle := func(delay time.Duration) {
		time.Sleep(delay)
		target.waitWhilePaused(c.fleet)
		if target.isDead(c.fleet) {
			return
		}
		response, err := serve(target.manager, context.Background(), q)
		done <- rpcResult[R]{response, err}
	}
	go handle(c.fleet.duration(c.fleet.delay))
	if c.fleet.float() < c.fleet.faultRate(false) {
		go handle(c.fleet.duration(20 * time.Second))
	}
	select {
	case r := <-done:
		if _, err := c.reach(c.to, c.from.member.Address); err != nil {
			<-ctx.Done()
			return nil, errUnreachable
		}
		c.from.waitWhilePaused(c.fleet)
		if c.from.isDead(c.fleet) {
			return nil, errUnreachable
		}
		return r.response, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// faultRate returns the fraction of lost messages if loss is set, otherwise that
// of duplicated requests.
func (f *fleet) faultRate(loss bool) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if loss {
		return f.loss
	}
	return f.duplication
}

// reach returns the process at the address to. The error is DeadlineExceeded when the
// message is lost at random or by a partition, and errUnreachable when no process runs
// there or the client's own process has been killed.
func (c *faultyClient) reach(from, to string) (*process, error) {
	lost := c.fleet.float() < c.fleet.faultRate(true)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if c.from.dead {
		return nil, errUnreachable
	}
	if lost || c.fleet.partitioned[[2]string{from, to}] {
		return nil, context.DeadlineExceeded
	}
	for _, n := range c.fleet.nodes {
		if n.addr == to && n.process != nil && !n.dead {
			return n.process, nil
		}
	}
	return nil, errUnreachable
}

// AcquireExecution implements peerv1.PeerServiceClient.
func (c *faultyClient) AcquireExecution(ctx context.Context, q *connect.Request[peerv1.AcquireExecutionRequest]) (*connect.Response[peerv1.AcquireExecutionResponse], error) {
	return call(ctx, c, q, (*Manager).AcquireExecution)
}

// CompleteExecution implements peerv1.PeerServiceClient.
func (c *faultyClient) CompleteExecution(ctx context.Context, q *connect.Request[peerv1.CompleteExecutionRequest]) (*connect.Response[peerv1.CompleteExecutionResponse], error) {
	return call(ctx, c, q, (*Manager).CompleteExecution)
}

// RenewLease implements peerv1.PeerServiceClient.
func (c *faultyClient) RenewLease(ctx context.Context, q *connect.Request[peerv1.RenewLeaseRequest]) (*connect.Response[peerv1.RenewLeaseResponse], error) {
	c.fleet.mutant.alterLease(q.Msg)
	return call(ctx, c, q, (*Manager).RenewLease)
}

// JoinOwnership implements peerv1.PeerServiceClient.
func (c *faultyClient) JoinOwnership(ctx context.Context, q *connect.Request[peerv1.JoinOwnershipRequest]) (*connect.Response[peerv1.JoinOwnershipResponse], error) {
	return call(ctx, c, q, (*Manager).JoinOwnership)
}

// Identify implements peerv1.PeerServiceClient.
func (c *faultyClient) Identify(ctx context.Context, q *connect.Request[peerv1.IdentifyRequest]) (*connect.Response[peerv1.IdentifyResponse], error) {
	return call(ctx, c, q, func(m *Manager, _ context.Context, _ *connect.Request[peerv1.IdentifyRequest]) (*connect.Response[peerv1.IdentifyResponse], error) {
		return connect.NewResponse(&peerv1.IdentifyResponse{Id: m.config.Self.ID, Incarnation: m.config.Self.Incarnation}), nil
	})
}
