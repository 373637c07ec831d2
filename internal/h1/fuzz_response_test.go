package h1

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a response that crashes the node, or that is taken for the response to a call
// that it does not name.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 503 x\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\nX-Id: 1\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			defer far.Close()
			buffer := make([]byte, 4<<10)
			_, _ = far.Read(buffer)
			_, _ = far.Write(response)
		}()
		p := NewPool(PoolConfig{MaxResponseBytes: 1 << 16, ResponseMatches: func(r *Request, response *Response) bool {
			return r.Header.Get("X-Id") == response.Header.Get("X-Id")
		}})
		r := &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1", Header: http.Header{"X-Id": {"1"}}}
		got, err := newClientConn(p, near).exchange(context.Background(), r, time.Now().Add(time.Second))
		if err == nil && got.Header.Get("X-Id") != "1" {
			t.Fatalf("response to another call: %v", got)
		}
	})
}
