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
	// leftoverTimeout is how long a refusal waits for the rest of a short body,
	// so that the caller's connection can be kept.
	leftoverTimeout = 50 * time.Millisecond
	// leftoverGrace is how long net/http reads the rest of a body after the
	// response, which lets the caller see the response before the connection is
	// closed. Without a limit a caller that stalls would hold the connection.
	leftoverGrace = time.Second
)

// trackedBody remembers whether an HTTP/1.1 request body was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended atomic.Bool
	// reading is held during a read.
	reading sync.Mutex
	over    bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.over {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// allowEarlyResponse lets a response begin before an HTTP/1.1 request body was
// read; net/http would otherwise read much of the body first, and a refusal
// would wait for a slow upload. The connection is closed after a response that
// begins before the body has ended: net/http cannot reuse it then.
func allowEarlyResponse(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 || r.ContentLength == 0 {
		return
	}
	r.Body = &trackedBody{ReadCloser: r.Body}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header()["Connection"] = []string{"close"}
}

// bodyEnded is false while an HTTP/1.1 request body has not been read to its end.
func bodyEnded(r *http.Request) bool {
	tracked, ok := r.Body.(*trackedBody)
	return !ok || tracked.ended.Load()
}

// keepConnection undoes the closing of the connection once the body has ended.
func keepConnection(w http.ResponseWriter, r *http.Request) {
	if bodyEnded(r) {
		delete(w.Header(), "Connection")
	}
}

// limitLeftover is called when a call is over. It ends a read that is still
// going on: net/http would end it too, but clear the read deadline then.
func limitLeftover(w http.ResponseWriter, r *http.Request) {
	if bodyEnded(r) {
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now())
	r.Body.(*trackedBody).end()
	_ = control.SetReadDeadline(time.Now().Add(leftoverGrace))
}

// end waits for the current read and fails later ones.
func (b *trackedBody) end() {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.over = true
}

// discardShort reads the rest of a short body before a refusal. In most cases
// it has arrived with the headers.
func discardShort(w http.ResponseWriter, r *http.Request) {
	if bodyEnded(r) || r.ContentLength < 0 || r.ContentLength > peer.ContinueThreshold {
		return
	}
	if r.Header.Get("Expect") != "" {
		// Reading would ask the caller for a body that nobody wants.
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(leftoverTimeout))
	_, _ = io.Copy(io.Discard, r.Body)
	_ = control.SetReadDeadline(time.Time{})
}
