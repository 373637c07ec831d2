package h1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/delivery"
)

// longUpload returns a request whose body fills the buffers of a connection.
func longUpload() *Request {
	r := request("1")
	r.Method, r.Body = http.MethodPost, make([]byte, 8<<20)
	return r
}

// awaitPending waits until the write of the request has filled the buffers between both ends.
func awaitPending(r *bufio.Reader) {
	readRequestHead(r)
	time.Sleep(50 * time.Millisecond)
}

func readRequestHead(r *bufio.Reader) {
	for {
		if line, err := r.ReadString('\n'); err != nil || line == "\r\n" {
			return
		}
	}
}

// reset closes a connection without the end of its stream.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// writeFirstConn lets a failed write learn of a reset before the read does: once it has read
// something, it reads on only after a write has failed.
type writeFirstConn struct {
	net.Conn
	read   bool
	failed chan struct{}
	once   sync.Once
}

func (c *writeFirstConn) Read(p []byte) (int, error) {
	if c.read {
		<-c.failed
	}
	c.read = true
	return c.Conn.Read(p)
}

func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// Guards against the part of a response that came before a reset and that is returned as whole. The
// kernel reports a reset once: a write that fails with it leaves an ordinary end of the stream to the
// read.
func TestResponseResetDuringUploadIsNotWhole(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n",
		"HTTP/1.1 500 Failed\r\nX-Id: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 8\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
	} {
		t.Run(strings.ReplaceAll(head, "\r\n", " "), func(t *testing.T) {
			p := testPool(t, scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				awaitPending(r)
				_, _ = io.WriteString(c, head+"part")
				time.Sleep(50 * time.Millisecond)
				reset(c)
			}))
			conn, err := net.Dial("tcp", p.config.Address)
			assert.NilError(t, err)
			defer conn.Close()
			c := newClientConn(p, &writeFirstConn{Conn: conn, failed: make(chan struct{})})
			_, err = c.exchange(t.Context(), longUpload(), time.Now().Add(testTimeout))
			var failure *SendError
			assert.Assert(t, errors.As(err, &failure) && failure.Sent, "%v", err)
			assert.Assert(t, !failure.DeadlineExceeded(), "%v", err)
		})
	}
}

// Guards against the same when nothing but the kernel orders the write and the read.
func TestResponseResetDuringUploadIsNeverWhole(t *testing.T) {
	for range 20 {
		p := testPool(t, scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
			awaitPending(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
			reset(c)
		}))
		response, err := do(p, longUpload())
		assert.Assert(t, err != nil, "%+v", response)
	}
}

// Guards against a refusal of a whole response without a length that comes before the end of an
// upload, from an upstream that reads on, that reads nothing more, or whose process has ended.
func TestEarlyResponseWithOrderlyEndIsWhole(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole"
	for name, script := range map[string]func(net.Conn, *bufio.Reader){
		"reads on": func(c net.Conn, r *bufio.Reader) {
			awaitPending(r)
			_, _ = io.WriteString(c, response)
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r)
		},
		"reads nothing": func(c net.Conn, r *bufio.Reader) {
			awaitPending(r)
			_, _ = io.WriteString(c, response)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Second)
		},
		"ends afterwards": func(c net.Conn, r *bufio.Reader) {
			awaitPending(r)
			_, _ = io.WriteString(c, response)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			reset(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := testPool(t, scriptedServer(t, script))
			started := time.Now()
			got, err := do(p, longUpload())
			assert.NilError(t, err)
			assert.Equal(t, string(got.Body), "whole")
			assert.Assert(t, time.Since(started) < time.Second, "the response was held back for the rest of the upload")
			assert.Equal(t, len(p.idle), 0)
		})
	}
}

// Guards against a reset that the watch of the receiver takes away from the read.
func TestObservationLeavesResetToTheRead(t *testing.T) {
	conn, err := net.Dial("tcp", scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = io.WriteString(c, "part")
		reset(c)
	}))
	assert.NilError(t, err)
	defer conn.Close()
	write(t, conn, "x")
	time.Sleep(50 * time.Millisecond)
	w := &receiverWatch{conn: conn}
	for _, lifted := range []bool{true, false} {
		_, ok := delivery.ReadProgress(conn)
		assert.Assert(t, ok)
		w.lift(lifted)
	}
	got, err := io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, string(got), "part")
}
