// Package h1 carries HTTP/1.1 messages over connections that it owns: a server
// that runs pipelined requests side by side and notices at once when a caller
// leaves, and a client that says whether a failed request may have been sent.
// Messages are held whole, so a message that breaks off never looks complete.
// Parsing is that of net/http.
package h1

import (
	"context"
	"net/http"
	"time"
)

// Request is a request with its whole body.
type Request struct {
	Method string
	// Target is the path and query as received.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is when the first byte of the request was read.
	Arrived time.Time
	// NonIdempotent is set on a request that must not be sent twice. It goes over a
	// connection that was used just now or over a new one, since an upstream may
	// have dropped one that was idle.
	NonIdempotent bool
	// RemoteIP is the address of the other end without its port.
	RemoteIP string
}

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close asks the server to close the connection after this response.
	Close bool
}

// Handler responds to requests. The context ends when the caller leaves.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, r *Request) *Response

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, r *Request) *Response {
	return f(ctx, r)
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// MaxBufferedBytes bounds the bodies of all requests that a server holds at a
	// time; zero means no bound.
	MaxBufferedBytes int64
}

// connectionHeaders concern one connection and are never forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeConnectionHeaders deletes what concerns one connection, including the
// headers that Connection names.
func removeConnectionHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}
