package h1

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// maxPooledBufferBytes is the largest message buffer that a server connection puts
// back into the pool. A request body of up to a quarter of it is copied behind its
// header, so that a typical message takes one system call.
const maxPooledBufferBytes = 64 << 10

// buffers holds slices in which messages are assembled.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

// splitList returns the non-empty elements of a comma-separated header value.
func splitList(list string) []string {
	var names []string
	for name := range strings.SplitSeq(list, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func appendHeader(b []byte, h http.Header) []byte {
	for name, values := range h {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

func appendRequestHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	b = appendHeader(b, r.Header)
	if length := r.BodyLength(); length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = appendLength(b, length)
	}
	return append(b, "\r\n"...)
}

func appendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}

// hasBody reports whether a response with this status to a request with this method
// carries a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func appendResponse(b []byte, method string, r *Response, closing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(r.Status)...)
	b = append(b, "\r\n"...)
	b = appendHeader(b, r.Header)
	if hasBody(method, r.Status) {
		b = appendLength(b, len(r.Body))
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if hasBody(method, r.Status) {
		b = append(b, r.Body...)
	}
	return b
}
