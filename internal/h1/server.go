package h1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Server accepts connections and passes their requests to a handler.
type Server struct {
	handler Handler
	limits  func() Limits
	log     zerolog.Logger

	// leaving is set once responses close their connections.
	leaving atomic.Bool

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	closed   bool
	inFlight atomic.Int64
	// buffered is the number of bytes in the bodies of requests in flight.
	buffered atomic.Int64
}

// NewServer returns a server. Limits is asked for each request.
func NewServer(handler Handler, limits func() Limits, log zerolog.Logger) *Server {
	return &Server{handler: handler, limits: limits, log: log, conns: make(map[*serverConn]struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors: the connection stays in the queue of the kernel.
			s.log.Warn().Err(err).Str("listener", l.Addr().String()).Msg("accept failed")
			pauseAfterAcceptError()
			continue
		}
		if conn := s.add(c); conn != nil {
			go conn.run()
		} else {
			_ = c.Close()
		}
	}
}

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

// DisableKeepAlives makes every further response close its connection.
func (s *Server) DisableKeepAlives() {
	s.leaving.Store(true)
}

// InFlight returns the number of requests that were read and not answered.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.abort()
	}
}
