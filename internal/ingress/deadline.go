package ingress

import (
	"context"
	"net/http"
	"time"
)

const (
	// answerGrace lets the node beside the upstream report the end of the time
	// itself; it knows whether the call was run.
	answerGrace = 20 * time.Millisecond
	// writeGrace is the time to write the failure of a call whose time ran out.
	writeGrace = time.Second
)

// ioLimit ends reads from and writes to the caller's connection some time after
// the end of a context, which by itself does not interrupt them.
type ioLimit struct {
	control *http.ResponseController
	done    chan struct{}
	stop    func() bool
}

// limitIO watches ctx. Uploading says that the request body has not ended.
func limitIO(ctx context.Context, w http.ResponseWriter, uploading bool) *ioLimit {
	l := &ioLimit{control: http.NewResponseController(w), done: make(chan struct{})}
	l.stop = context.AfterFunc(ctx, func() {
		defer close(l.done)
		// An error means that the connection is gone.
		_ = l.control.SetWriteDeadline(time.Now().Add(writeGrace))
		if uploading {
			_ = l.control.SetReadDeadline(time.Now())
		}
	})
	return l
}

// release ends the watch and leaves the connection without a write deadline,
// which net/http would keep for the next request.
func (l *ioLimit) release() {
	if l.stop() {
		return
	}
	<-l.done
	_ = l.control.SetWriteDeadline(time.Time{})
}
