package peer

import (
	"io"
	"net/http"
	"net/url"
)

// ContinueThreshold is the length in bytes of a request body up to which the
// sending node sends the whole body immediately. Of a longer body, the sending node
// holds back the rest until the receiving node has admitted the call, and buffers what
// was sent before, so that a refused call can be moved with its whole body.
const ContinueThreshold = 64 << 10

// Request is the HTTP request of a call. It is the same for every attempt, except
// for Body.
type Request struct {
	Method string
	// URL gives the path and the query; its scheme and host are ignored.
	URL  *url.URL
	Host string
	// Header is not modified.
	Header http.Header
	// ContentLength is negative when unknown and zero when there is no body.
	ContentLength int64
	Body          io.ReadCloser
}
