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
	errCut     = errors.New("no connection")
	errNotSent = notSent()
)

// notSent is the error of a call to the platform that reached nobody.
func notSent() error {
	e := resultcode.New(resultcode.PlatformUnavailable, "no connection")
	e.Execution = resultcode.NotRun
	return e
}

// link is the RPC client of one process for one address.
type link struct {
	peerv1.PeerServiceClient
	fleet *fleet
	from  *process
	to    string
}

type result[R any] struct {
	response *connect.Response[R]
	err      error
}

// call carries one RPC with the fleet's faults: a request or a response may be
// lost, a paused receiver handles it late, and a duplicate may come much later.
func call[Q, R any](ctx context.Context, l *link, q *connect.Request[Q], serve func(*Manager, context.Context, *connect.Request[Q]) (*connect.Response[R], error)) (*connect.Response[R], error) {
	l.from.block(l.fleet)
	target, err := l.reach(l.from.member.Address, l.to)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			<-ctx.Done()
		}
		return nil, errCut
	}
	done := make(chan result[R], 2)
	handle := func(delay time.Duration) {
		time.Sleep(delay)
		target.block(l.fleet)
		if target.isDead(l.fleet) {
			return
		}
		response, err := serve(target.manager, context.Background(), q)
		done <- result[R]{response, err}
	}
	go handle(l.fleet.duration(l.fleet.delay))
	if l.fleet.float() < l.fleet.rate(false) {
		go handle(l.fleet.duration(20 * time.Second))
	}
	select {
	case r := <-done:
		if _, err := l.reach(l.to, l.from.member.Address); err != nil {
			<-ctx.Done()
			return nil, errCut
		}
		l.from.block(l.fleet)
		if l.from.isDead(l.fleet) {
			return nil, errCut
		}
		return r.response, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *fleet) rate(loss bool) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if loss {
		return f.loss
	}
	return f.dup
}

// reach returns the process at an address, DeadlineExceeded when the message is
// lost, and errCut when nothing listens there.
func (l *link) reach(from, to string) (*process, error) {
	lost := l.fleet.float() < l.fleet.rate(true)
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.from.dead {
		return nil, errCut
	}
	if lost || l.fleet.cut[[2]string{from, to}] {
		return nil, context.DeadlineExceeded
	}
	for _, n := range l.fleet.nodes {
		if n.addr == to && n.process != nil && !n.dead {
			return n.process, nil
		}
	}
	return nil, errCut
}

// AcquireExecution implements peerv1.PeerServiceClient.
func (l *link) AcquireExecution(ctx context.Context, q *connect.Request[peerv1.AcquireExecutionRequest]) (*connect.Response[peerv1.AcquireExecutionResponse], error) {
	return call(ctx, l, q, (*Manager).AcquireExecution)
}

// CompleteExecution implements peerv1.PeerServiceClient.
func (l *link) CompleteExecution(ctx context.Context, q *connect.Request[peerv1.CompleteExecutionRequest]) (*connect.Response[peerv1.CompleteExecutionResponse], error) {
	return call(ctx, l, q, (*Manager).CompleteExecution)
}

// RenewLease implements peerv1.PeerServiceClient.
func (l *link) RenewLease(ctx context.Context, q *connect.Request[peerv1.RenewLeaseRequest]) (*connect.Response[peerv1.RenewLeaseResponse], error) {
	l.fleet.sabotage.lease(q.Msg)
	return call(ctx, l, q, (*Manager).RenewLease)
}

// JoinOwnership implements peerv1.PeerServiceClient.
func (l *link) JoinOwnership(ctx context.Context, q *connect.Request[peerv1.JoinOwnershipRequest]) (*connect.Response[peerv1.JoinOwnershipResponse], error) {
	return call(ctx, l, q, (*Manager).JoinOwnership)
}

// Identify implements peerv1.PeerServiceClient.
func (l *link) Identify(ctx context.Context, q *connect.Request[peerv1.IdentifyRequest]) (*connect.Response[peerv1.IdentifyResponse], error) {
	return call(ctx, l, q, func(m *Manager, _ context.Context, _ *connect.Request[peerv1.IdentifyRequest]) (*connect.Response[peerv1.IdentifyResponse], error) {
		return connect.NewResponse(&peerv1.IdentifyResponse{Id: m.config.Self.ID, Incarnation: m.config.Self.Incarnation}), nil
	})
}
