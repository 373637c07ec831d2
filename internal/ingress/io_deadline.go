package ingress

import (
	"context"
	"net/http"
	"time"
)

const (
	// responseGrace is how much later than the deadline of a call this node gives
	// up on a response. It lets the upstream's node report the passed deadline
	// itself, since that node knows whether the call was run.
	responseGrace = 20 * time.Millisecond
	// writeGrace is the time allowed for writing the failure, or the rest of the response,
	// of a call whose deadline has passed or whose caller has disconnected.
	writeGrace = time.Second
)

// ioDeadline ends reads from and writes to the caller's connection once a context
// has ended, which by itself does not interrupt them. Writes get writeGrace.
type ioDeadline struct {
	control *http.ResponseController
	// done is closed once the deadlines have been set because the context ended.
	done chan struct{}
	// stop stops watching the context. It returns false when the context has ended.
	stop func() bool
}

// newIODeadline returns an ioDeadline for ctx, which must be released. uploading is
// true for a request with a body; only then are reads ended.
func newIODeadline(ctx context.Context, w http.ResponseWriter, uploading bool) *ioDeadline {
	d := &ioDeadline{control: http.NewResponseController(w), done: make(chan struct{})}
	d.stop = context.AfterFunc(ctx, func() {
		defer close(d.done)
		// An error means that the connection is already closed.
		_ = d.control.SetWriteDeadline(time.Now().Add(writeGrace))
		if uploading {
			_ = d.control.SetReadDeadline(time.Now())
		}
	})
	return d
}

// release stops watching the context and clears the write deadline, which net/http
// would otherwise keep for the next request on the connection.
func (d *ioDeadline) release() {
	if d.stop() {
		return
	}
	<-d.done
	_ = d.control.SetWriteDeadline(time.Time{})
}
