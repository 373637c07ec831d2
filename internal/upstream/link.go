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
	// dialTimeout is far above the 1 ms that a connection costs on these networks.
	dialTimeout = 2 * time.Second
	// warmCheckPeriod is how often closed spare connections are replaced.
	warmCheckPeriod = time.Second
	// maxUpstreamHeaderBytes bounds the memory of a response's headers.
	maxUpstreamHeaderBytes = 256 << 10
)

// link holds the connections to one announced address. Connections in use,
// idle ones and spare ones together stay within the announced limit.
type link struct {
	address   string
	limit     int
	target    int
	transport *http.Transport
	dialer    net.Dialer
	failed    func(*link)
	stop      context.CancelFunc
	// startWarming begins to dial spare connections; it is called once the
	// upstream is ready.
	startWarming func()
	// released gets a token when a connection closes.
	released chan struct{}
	spare    chan *conn

	mu     sync.Mutex
	open   int
	closed bool
}

// newLink returns a link without connections.
func newLink(a Announcement, failed func(*link)) *link {
	ctx, stop := context.WithCancel(context.Background())
	l := &link{
		address:  a.Address,
		limit:    a.MaxConnections,
		target:   a.Slots,
		dialer:   net.Dialer{Timeout: dialTimeout},
		failed:   failed,
		stop:     stop,
		released: make(chan struct{}, 1),
		spare:    make(chan *conn, a.MaxConnections),
	}
	l.transport = &http.Transport{
		DialContext:            l.connect,
		DisableCompression:     true,
		MaxConnsPerHost:        l.limit,
		MaxIdleConns:           l.limit,
		MaxIdleConnsPerHost:    l.limit,
		MaxResponseHeaderBytes: maxUpstreamHeaderBytes,
	}
	l.startWarming = sync.OnceFunc(func() { go l.keepWarm(ctx) })
	return l
}

func (l *link) close() {
	l.stop()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for {
		select {
		case c := <-l.spare:
			_ = c.Close()
		default:
			l.transport.CloseIdleConnections()
			return
		}
	}
}

// connect is the transport's dial function: a spare connection if there is one.
func (l *link) connect(ctx context.Context, _, _ string) (net.Conn, error) {
	for {
		if c := l.takeSpare(); c != nil {
			return c, nil
		}
		if l.reserve(l.limit) {
			return l.dial(ctx)
		}
		select {
		case c := <-l.spare:
			if c.alive() {
				return c, nil
			}
			_ = c.Close()
		case <-l.released:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeSpare returns a spare connection that the upstream has not closed, or nil.
func (l *link) takeSpare() *conn {
	for {
		select {
		case c := <-l.spare:
			if c.alive() {
				return c
			}
			_ = c.Close()
		default:
			return nil
		}
	}
}

// reserve counts a new connection unless that many are open.
func (l *link) reserve(limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= limit {
		return false
	}
	l.open++
	return true
}

// release ends a reservation.
func (l *link) release() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// dial opens a connection for a reservation made before.
func (l *link) dial(ctx context.Context) (net.Conn, error) {
	raw, err := l.dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		l.release()
		if ctx.Err() == nil || errors.Is(err, syscall.ECONNREFUSED) {
			l.failed(l)
		}
		return nil, err
	}
	return &conn{Conn: raw, link: l}, nil
}

// keepWarm keeps as many connections open as the upstream has slots.
func (l *link) keepWarm(ctx context.Context) {
	ticker := time.NewTicker(warmCheckPeriod)
	defer ticker.Stop()
	for {
		l.fill(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *link) fill(ctx context.Context) {
	l.dropDeadSpares()
	for l.reserve(l.target) {
		raw, err := l.dial(ctx)
		if err != nil {
			return
		}
		if !l.offer(raw.(*conn)) {
			return
		}
	}
}

// dropDeadSpares closes the spare connections that the upstream has closed.
func (l *link) dropDeadSpares() {
	for range len(l.spare) {
		c := l.takeSpare()
		if c == nil || !l.offer(c) {
			return
		}
	}
}

// offer adds a spare connection and closes it when the link is closed.
func (l *link) offer(c *conn) bool {
	l.mu.Lock()
	closed := l.closed
	if !closed {
		// The channel has room for every connection that may be open.
		l.spare <- c
	}
	l.mu.Unlock()
	if closed {
		_ = c.Close()
	}
	return !closed
}
