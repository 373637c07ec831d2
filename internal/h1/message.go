// Package h1 implements an HTTP/1.1 server and client that manage their own
// connections. The server runs pipelined requests concurrently and detects
// immediately that a caller has closed its connection. The client reports whether a
// failed request may have been sent. Messages are buffered whole, so a truncated
// message never looks complete. Parsing is done by net/http.
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
	// Body is the body, or of a body of more than 1 MiB the first part; Rest holds the others.
	Body []byte
	Rest [][]byte
	// Arrived is when the first byte of the request was read. Only a Server sets it.
	Arrived time.Time
	// ID identifies the call to which the request belongs, empty if it is not known. Another
	// attempt at the call has the same ID. A Pool sends it on a connection on which no response
	// with an error status to this call has arrived, since a copy of that response could not be
	// told from the response to the new attempt.
	ID string
	// NonIdempotent is set on a request that must not be sent twice. A Pool sends it
	// on a recently used connection or on a new one, since an upstream may have closed
	// a connection that was idle.
	NonIdempotent bool
	// RemoteIP is the IP address of the remote end, without a port. Only a Server sets
	// it.
	RemoteIP string
}

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close asks the server to close the connection after this response.
	Close bool
	// Expires is when the caller no longer waits for the response, zero if that is not known. A
	// server that stops does not wait longer until the caller has taken the response.
	Expires time.Time
}

// Handler responds to requests. The context is cancelled when the connection is
// closed, for instance by the caller. The response must not be nil.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}

// BodyLength returns the number of bytes of the whole body.
func (r *Request) BodyLength() int {
	length := len(r.Body)
	for _, part := range r.Rest {
		length += len(part)
	}
	return length
}

// Refuser is a Handler that makes the responses to requests whose body was not read, for want of
// memory. Without one they have status 503 and no header.
type Refuser interface {
	Handler
	// Refuse returns the response to a request without its body. The response must not be nil.
	Refuse(r *Request) *Response
}

// HandlerFunc is an adapter that makes a function a Handler.
type HandlerFunc func(ctx context.Context, r *Request) *Response

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, r *Request) *Response {
	return f(ctx, r)
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes bounds the request line and the header together. The bound is
	// approximate, since input is read in blocks of readBufferBytes.
	MaxHeaderBytes int64
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of
	// its header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request while none is in flight.
	IdleTimeout time.Duration
}

// connectionHeaders apply to a single connection and are never forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeConnectionHeaders deletes the headers that apply to a single connection,
// including those that Connection names.
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
