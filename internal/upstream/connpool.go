package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
)

const (
	// dialTimeout is far above the 1 ms that it takes to open a connection on the
	// networks in use.
	dialTimeout = 2 * time.Second
	// warmCheckPeriod is the interval at which closed connections are replaced by spare
	// ones.
	warmCheckPeriod = time.Second
	// maxResponseHeaderBytes bounds the memory for the headers of a response.
	maxResponseHeaderBytes = 64 << 10
)

// connPool holds the connections to one announced address. A spare connection was
// opened in advance and has carried no request yet; an idle one is kept by the
// transport after a request. Connections in use, idle ones and spare ones together stay
// within the announced limit.
type connPool struct {
	address string
	// limit is the largest number of open connections.
	limit int
	// minOpen is the number of connections that keepWarm keeps open.
	minOpen   int
	transport *http.Transport
	dialer    net.Dialer
	// onDialFailure is called when a connection was refused, or could not be opened for
	// another reason before the context of the dial ended.
	onDialFailure func(*connPool)
	// stop ends keepWarm.
	stop context.CancelFunc
	// startWarming starts keepWarm when it is first called, once the upstream is ready.
	startWarming func()
	// released receives a token when a connection closes or could not be opened.
	released chan struct{}
	// spare holds the spare connections.
	spare chan *conn

	mu sync.Mutex
	// open counts the connections that are open or being opened.
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

// close stops keepWarm and closes the spare and idle connections. Connections in use stay
// open.
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

// connect is the transport's dial function. It returns a spare connection if there is
// one, else a new one; at the limit it waits until one of them is possible.
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

// reserve counts a connection that is about to be opened. It returns false, without
// counting, if limit connections are open already.
func (p *connPool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit {
		return false
	}
	p.open++
	return true
}

// release ends the reservation that reserve made for a connection and wakes a waiting
// connect.
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
	return &conn{Conn: responsecheck.NewConn(raw), pool: p}, nil
}

// keepWarm keeps at least as many connections open as the upstream has slots, until ctx
// ends, so that a burst of calls need not wait for new ones.
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

// fill replaces closed spare connections and opens more until minOpen connections are
// open, or until one cannot be opened.
func (p *connPool) fill(ctx context.Context) {
	p.closeDeadSpares()
	for p.reserve(p.minOpen) {
		opened, err := p.dial(ctx)
		if err != nil {
			return
		}
		if !p.addSpare(opened.(*conn)) {
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
