package h1

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// receiveBytes returns what a call with the id 1 gets from a connection on which the given bytes
// arrive before it is closed.
func receiveBytes(response string) (*Response, error) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		defer far.Close()
		_, _ = far.Read(make([]byte, 4<<10))
		_, _ = far.Write([]byte(response))
	}()
	p := NewPool(PoolConfig{MaxResponseBytes: 1 << 16, ResponseMatches: func(r *Request, response *Response) bool {
		return r.Header.Get("X-Id") == response.Header.Get("X-Id")
	}})
	r := &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1", Header: http.Header{"X-Id": {"1"}}}
	return newClientConn(p, near).exchange(context.Background(), r, time.Now().Add(testTimeout))
}

// Guards against a response whose header breaks off, at any byte, and that is returned as a success
// with an empty or a short body.
func TestBrokenOffHeaderIsNoResponse(t *testing.T) {
	for _, framing := range []string{"Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Stamp: 3e1b.07\r\n" + framing + "X-Last: 1\r\n\r\n"
		for end := range len(head) {
			for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				_, err := receiveBytes(before + head[:end])
				var failure *SendError
				assert.Assert(t, errors.As(err, &failure) && failure.Sent, "broken off behind %q: %v", head[:end], err)
			}
		}
	}
}
