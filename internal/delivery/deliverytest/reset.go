package deliverytest

import (
	"net"
	"sync"
	"time"
)

// Reset closes a TCP connection without the end of its stream.
func Reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// WriteFirstConn lets a failed write learn of a reset before the read does: once it has read
// something, it reads on only after a write has failed.
type WriteFirstConn struct {
	net.Conn
	read   bool
	failed chan struct{}
	once   sync.Once
}

// NewWriteFirstConn returns a WriteFirstConn over c.
func NewWriteFirstConn(c net.Conn) *WriteFirstConn {
	return &WriteFirstConn{Conn: c, failed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *WriteFirstConn) Read(p []byte) (int, error) {
	if c.read {
		<-c.failed
	}
	c.read = true
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *WriteFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// WriteBeforeLingerConn makes a write begin before the read deadline is lifted, which a server does when
// it begins to linger on the connection.
type WriteBeforeLingerConn struct {
	net.Conn
	writing chan struct{}
	once    sync.Once
}

// NewWriteBeforeLingerConn returns a WriteBeforeLingerConn over c.
func NewWriteBeforeLingerConn(c net.Conn) *WriteBeforeLingerConn {
	return &WriteBeforeLingerConn{Conn: c, writing: make(chan struct{})}
}

// Write implements net.Conn.
func (c *WriteBeforeLingerConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.writing) })
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *WriteBeforeLingerConn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		<-c.writing
	}
	return c.Conn.SetReadDeadline(deadline)
}
