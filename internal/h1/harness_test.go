package h1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

const testTimeout = 5 * time.Second

func testLimits() Limits {
	return Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}
}

// startServer serves a handler on a loopback port.
func startServer(t *testing.T, handler HandlerFunc, limits Limits) (*Server, string) {
	t.Helper()
	s := NewServer(handler, func() Limits { return limits }, zerolog.Nop())
	return s, serveOn(t, s)
}

// serveOn makes a server accept connections on a loopback port and returns its address.
func serveOn(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c, bufio.NewReader(c)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	assert.NilError(t, err)
}

func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := readResponseBody(response, 1<<20, 1<<20)
	assert.NilError(t, err)
	return response, string(body)
}

func textResponse(status int, body string) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: []byte(body)}
}

// scriptedServer serves the nth connection with the nth function and returns its
// address.
func scriptedServer(t *testing.T, scripts ...func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, script := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// testPool returns a pool that matches requests and responses by the header X-Id.
func testPool(t *testing.T, address string) *Pool {
	t.Helper()
	p := NewPool(PoolConfig{
		Address: address, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, MaxResponseBytes: 1 << 20,
		ResponseMatches: func(r *Request, response *Response) bool {
			return r.Header.Get("X-Id") == response.Header.Get("X-Id")
		},
	})
	t.Cleanup(p.Close)
	return p
}

func request(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{"X-Id": {id}}}
}

func do(p *Pool, r *Request) (*Response, error) {
	return p.Do(context.Background(), r, time.Now().Add(testTimeout))
}
