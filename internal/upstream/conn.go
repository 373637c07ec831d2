package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
)

// conn counts the bytes written for the attempt that uses it and checks the response to it.
type conn struct {
	*responsecheck.Conn
	pool *connPool
	// currentAttempt is the attempt that uses the connection or used it last, nil before
	// the first one.
	currentAttempt atomic.Pointer[attempt]
	closeOnce      sync.Once
}

// Read implements net.Conn. It tells the current attempt of a response that is not valid, since the
// transport may report another error when it cannot send the request again.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if a := c.currentAttempt.Load(); a != nil && err != nil && errors.As(err, &responsecheck.Error{}) {
		a.noteInvalid(err)
	}
	return n, err
}

// Write implements net.Conn. It fails with errReplay, without writing, if part of the
// current attempt was already written to another connection, so that http.Transport does
// not send the request a second time, or if the transport has since chosen another
// connection for the attempt.
func (c *conn) Write(p []byte) (int, error) {
	a := c.currentAttempt.Load()
	if a == nil {
		return c.Conn.Write(p)
	}
	if !a.mayWrite(c) {
		return 0, errReplay
	}
	n, err := c.Conn.Write(p)
	a.addWritten(n)
	return n, err
}

// Close implements net.Conn. The first call ends the connection's reservation in the pool.
func (c *conn) Close() (err error) {
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.release()
	})
	return err
}

// alive reports whether an idle connection is open, that is, has neither data nor
// end of file to read.
func (c *conn) alive() bool {
	raw, err := c.Conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errno == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}
