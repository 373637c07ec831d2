package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mustardwing/mustardwing/internal/peer"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// leftoverTimeout is how long a refusal waits for the rest of a short body, so
// that the caller's connection can be kept.
const leftoverTimeout = 50 * time.Millisecond

// callerBody is a request body that fails once more than the limit was read,
// which a body of unknown length can do.
type callerBody struct {
	source io.Reader
	limit  int64
	left   atomic.Int64
	ended  atomic.Bool
}

func newCallerBody(source io.Reader, limit int64) *callerBody {
	b := &callerBody{source: source, limit: limit}
	b.left.Store(limit)
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	left := b.left.Add(-int64(n))
	switch {
	case left < 0:
		return 0, resultcode.New(resultcode.BodyTooLarge, "body exceeds %d bytes", b.limit)
	case err == io.EOF:
		b.ended.Store(true)
	case err != nil:
		return n, resultcode.Wrap(err, resultcode.CallerGone, "the caller's request body ended early")
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
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header()["Connection"] = []string{"close"}
}

// keepConnection undoes the closing of the connection once the body has ended.
func keepConnection(w http.ResponseWriter, body *callerBody) {
	if body.ended.Load() {
		delete(w.Header(), "Connection")
	}
}

// discardShort reads the rest of a short body before a refusal. In most cases
// it has arrived with the headers.
func discardShort(w http.ResponseWriter, r *http.Request, body *callerBody) {
	if r.ProtoMajor != 1 || r.ContentLength <= 0 || r.ContentLength > peer.ContinueAbove || body.ended.Load() {
		return
	}
	if r.Header.Get("Expect") != "" {
		// Reading would ask the caller for a body that nobody wants.
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(leftoverTimeout))
	_, _ = io.Copy(io.Discard, body)
	_ = control.SetReadDeadline(time.Time{})
}
