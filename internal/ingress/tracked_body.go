package ingress

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardwing/mustardwing/internal/peer"
)

const (
	// unreadBodyTimeout is the longest time for which the response to a failed call waits
	// for the rest of a short body, so that the caller's connection can be reused.
	unreadBodyTimeout = 50 * time.Millisecond
	// unreadBodyGrace is the longest time for which net/http reads the rest of a body
	// after the response, which lets the caller receive the response before the
	// connection is closed. Without a limit, a caller that stalls would keep the
	// connection open.
	unreadBodyGrace = time.Second
)

// trackedBody is an HTTP/1.1 request body that records whether it was read to its
// end.
type trackedBody struct {
	io.ReadCloser
	// ended is set once the body has been read to its end.
	ended atomic.Bool
	// readMu is held during a read and guards closed.
	readMu sync.Mutex
	// closed makes reads fail; it is set by stopReading.
	closed bool
}

// Read reads from the body. It fails with http.ErrBodyReadAfterClose after stopReading.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// allowEarlyResponse lets a response start before an HTTP/1.1 request body was
// read to its end. Otherwise net/http would read much of the body first, and a
// refusal would wait for a slow upload. The connection is closed after a response
// that starts before the body has ended, since net/http cannot reuse it.
func allowEarlyResponse(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 || r.ContentLength == 0 {
		return
	}
	r.Body = &trackedBody{ReadCloser: r.Body}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header()["Connection"] = []string{"close"}
}

// bodyEnded reports whether the request body has been read to its end. It is always true
// for a body that allowEarlyResponse does not track: of an HTTP/2 request, or an empty one.
func bodyEnded(r *http.Request) bool {
	tracked, ok := r.Body.(*trackedBody)
	return !ok || tracked.ended.Load()
}

// keepConnection cancels the closing of the connection that allowEarlyResponse
// requested, if the body has ended.
func keepConnection(w http.ResponseWriter, r *http.Request) {
	if bodyEnded(r) {
		delete(w.Header(), "Connection")
	}
}

// limitUnreadBody is called when a call has completed. It ends a read that is still
// in progress and limits how long net/http reads the rest of the body. net/http
// would end that read too, but would clear the read deadline in doing so.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if bodyEnded(r) {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now())
	r.Body.(*trackedBody).stopReading()
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyGrace))
}

// stopReading waits for the current read to return and makes later reads fail.
func (b *trackedBody) stopReading() {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	b.closed = true
}

// discardShortBody reads the rest of a short body before the response to a failed call.
// In most cases the body has arrived together with the headers.
func discardShortBody(w http.ResponseWriter, r *http.Request) {
	if bodyEnded(r) || r.ContentLength < 0 || r.ContentLength > peer.ContinueThreshold {
		return
	}
	if r.Header.Get("Expect") != "" {
		// Reading would make net/http ask the caller to send a body that is not
		// needed.
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	_, _ = io.Copy(io.Discard, r.Body)
	_ = control.SetReadDeadline(time.Time{})
}
