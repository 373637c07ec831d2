package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout is far above the 1 ms that it takes to open a connection on the
	// networks in use.
	dialTimeout = 2 * time.Second
	// warmCheckPeriod is the interval at which closed spare connections are replaced.
	warmCheckPeriod = time.Second
	// maxResponseHeaderBytes bounds the memory for the headers of a response.
	maxResponseHeaderBytes = 256 << 10
)

// connPool holds the connections to one announced address. Connections in use,
// idle ones and spare ones together stay within the announced limit.
type connPool struct {
	address       string
	limit         int
	minOpen       int
	transport     *http.Transport
	dialer        net.Dialer
	onDialFailure func(*connPool)
	stop          context.CancelFunc
	// startWarming starts to dial spare connections; it is called once the
	// upstream is ready.
	startWarming func()
	// released receives a token when a connection closes.
	released chan struct{}
	spare    chan *conn

	mu     sync.Mutex
	open   int
	closed bool
}

// newConnPool returns a pool without connections.
func newConnPool(a Announcement, onDialFailure func(*connPool)) *connPool {
	ctx, stop := context.WithCancel(context.Background())
	p := &connPool{
		address:       a.Address,
		limit:         a.MaxConnections,
		minOpen:       a.Slots,
		dialer:        net.Dialer{Timeout: dialTimeout},
		onDialFailure: onDialFailure,
		stop:          stop,
		released:      make(chan struct{}, 1),
		spare:         make(chan *conn, a.MaxConnections),
	}
	p.transport = &http.Transport{
		DialContext:            p.connect,
		DisableCompression:     true,
		MaxConnsPerHost:        p.limit,
		MaxIdleConns:           p.limit,
		MaxIdleConnsPerHost:    p.limit,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	p.startWarming = sync.OnceFunc(func() { go p.keepWarm(ctx) })
	return p
}

func (p *connPool) close() {
	p.stop()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for {
		select {
		case c := <-p.spare:
			_ = c.Close()
		default:
			p.transport.CloseIdleConnections()
			return
		}
	}
}

// connect is the transport's dial function. It returns a spare connection if there
// is one.
func (p *connPool) connect(ctx context.Context, _, _ string) (net.Conn, error) {
	for {
		if c := p.takeSpare(); c != nil {
			return c, nil
		}
		if p.reserve(p.limit) {
			return p.dial(ctx)
		}
		select {
		case c := <-p.spare:
			if c.alive() {
				return c, nil
			}
			_ = c.Close()
		case <-p.released:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeSpare returns a spare connection that the upstream has not closed, or nil.
func (p *connPool) takeSpare() *conn {
	for {
		select {
		case c := <-p.spare:
			if c.alive() {
				return c
			}
			_ = c.Close()
		default:
			return nil
		}
	}
}

// reserve counts a new connection. It returns false if limit connections are open.
func (p *connPool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit {
		return false
	}
	p.open++
	return true
}

// release ends the reservation of a connection and wakes a waiting connect.
func (p *connPool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	select {
	case p.released <- struct{}{}:
	default:
	}
}

// dial opens a connection that was reserved. A failure ends the reservation.
func (p *connPool) dial(ctx context.Context) (net.Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.release()
		if ctx.Err() == nil || errors.Is(err, syscall.ECONNREFUSED) {
			p.onDialFailure(p)
		}
		return nil, err
	}
	return &conn{Conn: raw, pool: p}, nil
}

// keepWarm keeps as many connections open as the upstream has slots.
func (p *connPool) keepWarm(ctx context.Context) {
	ticker := time.NewTicker(warmCheckPeriod)
	defer ticker.Stop()
	for {
		p.fill(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *connPool) fill(ctx context.Context) {
	p.closeDeadSpares()
	for p.reserve(p.minOpen) {
		raw, err := p.dial(ctx)
		if err != nil {
			return
		}
		if !p.addSpare(raw.(*conn)) {
			return
		}
	}
}

// closeDeadSpares closes the spare connections that the upstream has closed.
func (p *connPool) closeDeadSpares() {
	for range len(p.spare) {
		c := p.takeSpare()
		if c == nil || !p.addSpare(c) {
			return
		}
	}
}

// addSpare adds a spare connection. If the pool is closed it closes the connection
// and returns false.
func (p *connPool) addSpare(c *conn) bool {
	p.mu.Lock()
	closed := p.closed
	if !closed {
		// The channel has capacity for every connection that may be open.
		p.spare <- c
	}
	p.mu.Unlock()
	if closed {
		_ = c.Close()
	}
	return !closed
}
