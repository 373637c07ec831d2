package h1

import (
	"context"
	"net"
	"sync"
	"time"
)

// onceIdleLimit is the longest time that a connection may have been unused for a
// request that must not be sent twice. It is below the shortest idle time-out that
// upstreams are known to have.
const onceIdleLimit = time.Second

// PoolConfig configures a Pool.
type PoolConfig struct {
	Address string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept unless the other end
	// names a shorter time.
	IdleTimeout time.Duration
	// MaxIdle is the number of unused connections kept.
	MaxIdle int
	// MaxResponseBytes is the largest response body.
	MaxResponseBytes int64
	// DetectDeadPeer makes connections that have gone silent fail.
	DetectDeadPeer bool
	// ResponseMatches says whether a response belongs to a request; nil accepts all.
	// A response that does not is skipped and its connection closed afterwards.
	ResponseMatches func(*Request, *Response) bool
}

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	config PoolConfig
	dialer net.Dialer

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
	opened int64
}

// NewPool returns a pool without connections.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, dialer: net.Dialer{Timeout: config.DialTimeout, KeepAlive: -1}}
}

// Do sends a request and returns its response. A failure is a *SendError. The
// deadline bounds the whole exchange.
func (p *Pool) Do(ctx context.Context, r *Request, deadline time.Time) (*Response, error) {
	c, err := p.get(ctx, deadline, r.NonIdempotent)
	if err != nil {
		return nil, &SendError{Sent: false, Cause: err}
	}
	response, err := c.exchange(ctx, r, deadline)
	if err != nil {
		_ = c.conn.Close()
		return nil, err
	}
	p.put(c)
	return response, nil
}

// get returns an idle connection that is still usable, or a new one.
func (p *Pool) get(ctx context.Context, deadline time.Time, once bool) (*clientConn, error) {
	for {
		c := p.takeIdle(once)
		if c == nil {
			return p.dial(ctx, deadline)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		_ = c.conn.Close()
	}
}

// takeIdle returns the connection unused longest, so that all are used before
// the other end closes them. For a request that must not be sent twice it returns
// the one used last, if that was just now.
func (p *Pool) takeIdle(once bool) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	if !once {
		c := p.idle[0]
		p.idle = p.idle[1:]
		return c
	}
	c := p.idle[len(p.idle)-1]
	if time.Since(c.idleSince) > onceIdleLimit {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, deadline time.Time) (*clientConn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", p.config.Address)
	if err != nil {
		return nil, err
	}
	if p.config.DetectDeadPeer {
		EnableDeadPeerDetection(conn)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newClientConn(p, conn), nil
}

func (p *Pool) put(c *clientConn) {
	if c.tainted {
		_ = c.conn.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.config.MaxIdle {
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.dropExpired(c.idleSince)
}

// dropExpired closes the connection unused longest once it has expired. The
// caller holds the lock.
func (p *Pool) dropExpired(now time.Time) {
	if oldest := p.idle[0]; now.Sub(oldest.idleSince) > oldest.idleLimit {
		_ = oldest.conn.Close()
		p.idle = p.idle[1:]
	}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the unused connections; those in use close after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}
