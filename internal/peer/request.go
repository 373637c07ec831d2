package peer

import (
	"io"
	"net/http"
	"net/url"
)

// ContinueThreshold is the length of a request body above which the sending node
// holds back the rest until the receiving node has admitted the call. The part
// sent before is kept, so that a refused call can be moved with its body.
const ContinueThreshold = 64 << 10

// Request is the part of a call that is the same on every attempt, but for the
// body.
type Request struct {
	Method string
	// URL gives path and query.
	URL  *url.URL
	Host string
	// Header is only read.
	Header http.Header
	// ContentLength is negative when unknown and zero when there is no body.
	ContentLength int64
	Body          io.ReadCloser
}
