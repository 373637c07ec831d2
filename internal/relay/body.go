package relay

import (
	"io"
	"net/http"
	"sync"
)

// bufferBytes bounds the memory for one body in one direction.
const bufferBytes = 32 << 10

var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, bufferBytes)
	return &buffer
}}

// Copy relays a response body and returns the number of bytes written. readErr
// is set when body failed or ended early, writeErr when the receiver disconnected.
// With flush the header and each chunk are sent without waiting for more data.
func Copy(w http.ResponseWriter, body io.Reader, flush bool) (written int64, readErr, writeErr error) {
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	buffer := *pooled
	control := http.NewResponseController(w)
	if flush {
		// The receiver may wait for the header before it sends more.
		if failed := control.Flush(); failed != nil {
			return 0, nil, failed
		}
	}
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			m, failed := w.Write(buffer[:n])
			written += int64(m)
			if failed != nil {
				return written, nil, failed
			}
		}
		if err == io.EOF {
			return written, nil, nil
		}
		if err != nil {
			return written, err, nil
		}
		if flush && n > 0 {
			if failed := control.Flush(); failed != nil {
				return written, nil, failed
			}
		}
	}
}

// FlushNeeded reports whether a response should be flushed chunk by chunk: its
// length is unknown, so that the next chunk may take long to arrive, or it does
// not fit in one buffer.
func FlushNeeded(contentLength int64) bool {
	return contentLength < 0 || contentLength > bufferBytes
}

// HasBody reports whether a response carries a body, given the method of its request, its
// status and its content length.
func HasBody(method string, status int, contentLength int64) bool {
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return false
	}
	return contentLength != 0
}

// FitsBuffer reports whether a response has no body, or one of known length that fits in
// one buffer and is not followed by trailers.
func FitsBuffer(method string, response *http.Response) bool {
	if !HasBody(method, response.StatusCode, response.ContentLength) {
		return true
	}
	return response.ContentLength > 0 && response.ContentLength <= bufferBytes && len(response.Trailer) == 0
}

// ReadBuffered reads the body of a response for which FitsBuffer holds. The body
// is valid until release is called. release is set also after an error.
func ReadBuffered(response *http.Response) (body []byte, release func(), err error) {
	pooled := bufferPool.Get().(*[]byte)
	release = func() { bufferPool.Put(pooled) }
	if !HasBody(response.Request.Method, response.StatusCode, response.ContentLength) {
		return nil, release, nil
	}
	body = (*pooled)[:response.ContentLength]
	_, err = io.ReadFull(response.Body, body)
	return body, release, err
}
