package delivery

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pollInterval is how often Listener.Wait examines the connections.
const pollInterval = 20 * time.Millisecond

// Listener makes the connections of a TCP listener close without losing what was written to them.
// It serves servers that close connections themselves, such as that of net/http.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewListener returns a listener whose connections linger after Close.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{Conn: c, tracker: NewTracker(c), listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// Wait returns once the remote ends of all connections have taken what was written to them, or ctx
// has ended.
func (l *Listener) Wait(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for l.pending(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *Listener) pending(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.tracker.Pending(now) {
			return true
		}
	}
	return false
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection that lingers after Close. It embeds the interface, so that all that is
// written passes Write.
type conn struct {
	net.Conn
	tracker  *Tracker
	listener *Listener
	closed   atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.tracker.Wrote(time.Now(), time.Time{}, false)
	return n, err
}

// CloseWrite closes the connection for writing. A server that closes a connection itself looks for it.
func (c *conn) CloseWrite() error {
	CloseWrite(c.Conn)
	return nil
}

// Close implements net.Conn. It returns at once; the connection is closed in the background.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	now := time.Now()
	c.tracker.close(now)
	_ = c.SetDeadline(now)
	CloseWrite(c.Conn)
	go func() {
		defer c.listener.remove(c)
		defer c.Conn.Close()
		c.tracker.Linger(bufio.NewReader(c.Conn))
	}()
	return nil
}
