package h1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/delivery"
	"github.com/mustardwing/mustardwing/internal/delivery/deliverytest"
)

// longUpload returns a request whose body fills the buffers of a connection.
func longUpload() *Request {
	r := request("1")
	r.Method, r.Body = http.MethodPost, make([]byte, 8<<20)
	return r
}

// awaitPending reads the header of a request and waits until the write of its body has filled the buffers
// between both ends.
func awaitPending(r *bufio.Reader) {
	_, _ = http.ReadRequest(r)
	time.Sleep(50 * time.Millisecond)
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
				deliverytest.Reset(c)
			}))
			conn, _ := dial(t, p.config.Address)
			c := newClientConn(p, deliverytest.NewWriteFirstConn(conn))
			_, err := c.exchange(t.Context(), longUpload(), time.Now().Add(testTimeout))
			var failure *SendError
			assert.Assert(t, errors.As(err, &failure) && failure.Sent && !failure.DeadlineExceeded(), "%v", err)
		})
	}
}

// Guards against the same when nothing but the kernel orders the write and the read, also if its buffers
// have taken the whole upload, so that no write is running.
func TestResponseResetDuringUploadIsNeverWhole(t *testing.T) {
	for i := range 40 {
		p := testPool(t, scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
			awaitPending(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
			deliverytest.Reset(c)
		}))
		r := longUpload()
		r.Body = r.Body[:[]int{8 << 20, 200 << 10}[i%2]]
		response, err := do(p, r)
		assert.Assert(t, err != nil, "%+v", response)
	}
}

// Guards against a refusal of a whole response without a length that comes before the end of an
// upload, from an upstream that reads on, that reads nothing more, or whose process has ended.
func TestEarlyResponseWithOrderlyEndIsWhole(t *testing.T) {
	for name, after := range map[string]func(net.Conn, *bufio.Reader){
		"reads on":        func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) },
		"reads nothing":   func(net.Conn, *bufio.Reader) { time.Sleep(time.Second) },
		"ends afterwards": func(c net.Conn, _ *bufio.Reader) { time.Sleep(50 * time.Millisecond); deliverytest.Reset(c) },
	} {
		t.Run(name, func(t *testing.T) {
			p := testPool(t, scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				awaitPending(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole")
				_ = c.(*net.TCPConn).CloseWrite()
				after(c, r)
			}))
			started := time.Now()
			got, err := do(p, longUpload())
			assert.NilError(t, err)
			assert.Equal(t, string(got.Body), "whole")
			assert.Assert(t, time.Since(started) < time.Second && len(p.idle) == 0, "held back for the rest of the upload, or the connection was kept")
		})
	}
}

// Guards against a reset that the watch of the receiver takes away from the read.
func TestObservationLeavesResetToTheRead(t *testing.T) {
	conn, err := net.Dial("tcp", scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = io.WriteString(c, "part")
		deliverytest.Reset(c)
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
