// Package deliverytest holds a caller that reads slowly, for the tests of servers.
package deliverytest

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// receiveBuffer is small, so that most of a response waits at the server.
	receiveBuffer = 4 << 10
	readBytes     = 2 << 10
	readPause     = 50 * time.Millisecond
)

// SlowCaller is a connection whose caller reads a little at a time.
type SlowCaller struct {
	net.Conn
	// Host is that of the requests.
	Host string
}

// Dial opens the connection of a slow caller.
func Dial(t *testing.T, address string) *SlowCaller {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	c, err := dialer.DialContext(context.Background(), "tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &SlowCaller{Conn: c, Host: "h"}
}

// Send writes a request without a body. The header is empty or ends with a line break.
func (c *SlowCaller) Send(t *testing.T, method, target, header string) {
	t.Helper()
	_, err := fmt.Fprintf(c.Conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", method, target, c.Host, header)
	assert.NilError(t, err)
}

// Read implements io.Reader.
func (c *SlowCaller) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return c.Conn.Read(p[:min(len(p), readBytes)])
}

// Response reads the header of the next response; its body is still to be read.
func (c *SlowCaller) Response() (*http.Response, error) {
	return http.ReadResponse(bufio.NewReaderSize(c, readBytes), nil)
}
