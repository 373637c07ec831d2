package h1

import (
	"context"
	"net"
	"sync"
	"time"
)

// nonIdempotentIdleLimit is the longest idle time of a connection on which a
// non-idempotent request is sent. It is below the shortest idle timeout that
// upstreams are known to have.
const nonIdempotentIdleLimit = time.Second

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Address is the address to connect to, with a port.
	Address string
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept unless the server
	// announces a shorter time.
	IdleTimeout time.Duration
	// MaxIdle is the largest number of idle connections kept.
	MaxIdle int
	// MaxResponseBytes is the largest accepted response body.
	MaxResponseBytes int64
	// MaxExchanges is the number of exchanges that run at a time, zero if it is not known.
	MaxExchanges int
	// MaxBufferedBytes bounds the total size of the response bodies that are being read,
	// without the first unreservedBodyBytes of each. With zero it is not bounded.
	MaxBufferedBytes int64
	// Preface, unless empty, is sent at the beginning of every new connection.
	Preface Preface
	// DetectDeadPeer applies EnableDeadPeerDetection to every new connection.
	DetectDeadPeer bool
	// ResponseMatches reports whether a response belongs to a request; nil accepts
	// all. A response that does not match is skipped and its connection is closed
	// after the exchange.
	ResponseMatches func(*Request, *Response) bool
	// CheckResponse, unless nil, returns an error for a response without its body whose header
	// contradicts itself. The exchange then fails, and its connection is closed.
	CheckResponse func(*Request, *Response) error
	// OnResponseHeader, unless nil, receives each response that matches its request, without
	// the body, as soon as the header has been read. The body may still break off.
	OnResponseHeader func(*Request, *Response)
}

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	config PoolConfig
	dialer net.Dialer
	// bodyBytes accounts for the bytes that MaxBufferedBytes bounds, those of each response
	// beyond the first unreservedBodyBytes.
	bodyBytes           byteAccount
	unreservedBodyBytes int64

	mu sync.Mutex
	// idle holds the idle connections, the one idle longest first.
	idle   []*clientConn
	closed bool
	// opened counts the connections opened so far.
	opened int64
}

// NewPool returns a pool without connections.
func NewPool(config PoolConfig) *Pool {
	return &Pool{
		config: config, dialer: net.Dialer{Timeout: config.DialTimeout, KeepAlive: -1},
		bodyBytes: byteAccount{limit: config.MaxBufferedBytes}, unreservedBodyBytes: unreservedBodyBytes(config),
	}
}

// Do sends a request and returns its response. Errors are of type *SendError. The
// deadline bounds the whole exchange.
func (p *Pool) Do(ctx context.Context, r *Request, deadline time.Time) (*Response, error) {
	c, err := p.get(ctx, deadline, r)
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
func (p *Pool) get(ctx context.Context, deadline time.Time, r *Request) (*clientConn, error) {
	for {
		c := p.popIdle(r)
		if c == nil {
			return p.dial(ctx, deadline)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		_ = c.conn.Close()
	}
}

// popIdle removes and returns the connection that has been idle longest, so that all are used
// before the server closes them. For a non-idempotent request it returns the most recently
// used one if that was idle for at most nonIdempotentIdleLimit. Connections on which the call
// of the request has failed are left out. It returns nil if there is no such connection.
func (p *Pool) popIdle(r *Request) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !r.NonIdempotent {
		for i, c := range p.idle {
			if !c.failed.contains(r.ID) {
				return p.takeIdle(i)
			}
		}
		return nil
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if time.Since(c.idleSince) > nonIdempotentIdleLimit {
			return nil
		}
		if !c.failed.contains(r.ID) {
			return p.takeIdle(i)
		}
	}
	return nil
}

// takeIdle removes and returns an idle connection. It is called with mu held.
func (p *Pool) takeIdle(i int) *clientConn {
	c := p.idle[i]
	if i == 0 {
		p.idle = p.idle[1:]
	} else {
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
	}
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

// put makes a connection idle after its exchange, or closes it if it must not be reused
// or the pool is full or closed.
func (p *Pool) put(c *clientConn) {
	if c.mustClose {
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
	p.closeExpired(c.idleSince)
}

// closeExpired closes the connection that has been idle longest if its idle limit
// has passed. It is called with mu held.
func (p *Pool) closeExpired(now time.Time) {
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

// Close closes the idle connections; those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}
