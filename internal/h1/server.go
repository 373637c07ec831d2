package h1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Server accepts connections and passes their requests to a handler.
type Server struct {
	handler Handler
	limits  func() Limits
	log     zerolog.Logger

	// bodies accounts for the bodies of requests, from the first byte read until the handler has
	// returned.
	bodies BodyMemory
	// prefaced holds the handlers of the connections by their preface, nil if connections need none.
	prefaced map[Preface]Handler
	// onRefused is called with the IP address of each connection without a known preface.
	onRefused func(remoteIP string)
	// onUnread is called with the status of each response to a request that could not be read.
	onUnread func(status int)

	// keepAlivesDisabled makes every response close its connection.
	keepAlivesDisabled atomic.Bool

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	closed bool

	goroutines goroutinePool

	// inFlight counts the requests of which a byte was read and that have no response yet.
	inFlight atomic.Int64
}

// NewServer returns a server. It calls limits for each request.
func NewServer(handler Handler, limits func() Limits, log zerolog.Logger) *Server {
	return &Server{handler: handler, limits: limits, log: log, bodies: unboundedBodies(), onUnread: func(int) {}, onRefused: func(string) {}, conns: make(map[*serverConn]struct{})}
}

// LimitBodies bounds the memory for the bodies of requests. It must be called before Serve.
func (s *Server) LimitBodies(memory BodyMemory) {
	s.bodies = memory
}

// LargestBody returns the size up to which a body fits into the memory for bodies, zero for any.
func (s *Server) LargestBody() int64 {
	return s.bodies.Large.largestBody()
}

// OnUnread registers a function that is called with the status of each response to a request that
// could not be read. It must be called before Serve.
func (s *Server) OnUnread(f func(status int)) {
	s.onUnread = f
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Normally the process is out of file descriptors; the connection then stays in
			// the kernel's accept queue.
			s.log.Warn().Err(err).Str("listener", l.Addr().String()).Msg("accept failed")
			waitAfterAcceptError()
			continue
		}
		if conn := s.add(c); conn != nil {
			go conn.run()
		} else {
			_ = c.Close()
		}
	}
}

// add registers a connection, or returns nil if the server is closed.
func (s *Server) add(c net.Conn) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	conn := newServerConn(s, c, ctx, cancel)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		cancel()
		return nil
	}
	s.conns[conn] = struct{}{}
	return conn
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// DisableKeepAlives makes every further response close its connection, unless later
// requests on the connection are in flight.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// InFlight returns the number of requests of which a byte was read and that have no response
// yet.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Delivering reports whether a caller may still be taking a response that was written.
func (s *Server) Delivering() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		if c.responses.Pending(now) {
			return true
		}
	}
	return false
}

// Close closes all connections, which cancels the requests in flight, and any accepted
// later. It does not close listeners.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.abort()
	}
	s.goroutines.close()
}
