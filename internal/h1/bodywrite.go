package h1

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
)

// bodyWrite is a write of a request body that runs concurrently with the wait for the response.
type bodyWrite struct {
	conn net.Conn
	// result receives the error of the write, or nil, when the write has ended.
	result chan error
}

func startBodyWrite(c net.Conn, r *Request) *bodyWrite {
	w := &bodyWrite{conn: c, result: make(chan error, 1)}
	go func() {
		body := append(net.Buffers{r.Body}, r.Rest...)
		_, err := body.WriteTo(c)
		w.result <- err
	}()
	return w
}

// complete reports whether the whole body has been written.
func (w *bodyWrite) complete() bool {
	select {
	case err := <-w.result:
		return err == nil
	default:
		return false
	}
}

// checkEnd ends the write once a read has reached the end of the stream. It returns an error if the
// connection had failed by then. The kernel reports such a failure to one system call only: when the write
// gets it, the read gets an ordinary end of the stream, as if the remote end had closed the connection.
// EPIPE is no such failure, since the kernel then received the orderly end first.
func (w *bodyWrite) checkEnd() error {
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	err := <-w.result
	if err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return responsecheck.Error{Reason: responsecheck.Incomplete, Detail: "response without a length before a failure of the connection: " + err.Error()}
}
