package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// conn counts the bytes written for the attempt that uses it.
type conn struct {
	net.Conn
	link  *link
	user  atomic.Pointer[attempt]
	close sync.Once
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	user := c.user.Load()
	if user == nil {
		return c.Conn.Write(p)
	}
	if !user.mayWrite(c) {
		return 0, errReplay
	}
	n, err := c.Conn.Write(p)
	user.wrote(n)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() (err error) {
	c.close.Do(func() {
		err = c.Conn.Close()
		c.link.release()
	})
	return err
}

// alive reports whether an unused connection is open: nothing to read, not even
// its end.
func (c *conn) alive() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = failed == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}
