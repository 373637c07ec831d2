package h1

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// Preface is what a client sends first on a connection, before any message, to say what the
// connection carries. It has prefaceBytes bytes and begins with a byte that no HTTP message begins
// with. All that follows may be chosen by others: the preface is the client's own.
type Preface string

const prefaceBytes = 8

var errPreface = errors.New("connection does not begin with a known preface")

// RequirePrefaces makes the server serve only connections that begin with one of the prefaces, each
// with its handler in place of the server's own. It must be called before Serve.
func (s *Server) RequirePrefaces(handlers map[Preface]Handler) {
	s.prefaced = handlers
}

// OnRefused registers a function that is called with the IP address of the remote end of each
// connection that begins with no known preface. It must be called before Serve.
func (s *Server) OnRefused(f func(remoteIP string)) {
	s.onRefused = f
}

// selectHandler reads the preface of the connection and selects the handler that it names. Without
// required prefaces it reads nothing.
func (c *serverConn) selectHandler() error {
	if c.server.prefaced == nil {
		return nil
	}
	limits := c.server.limits()
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.messages.startHeader(prefaceBytes + readBufferBytes)
	var preface [prefaceBytes]byte
	if n, err := io.ReadFull(c.reader, preface[:]); n == 0 {
		return err
	}
	handler, known := c.server.prefaced[Preface(preface[:])]
	if !known {
		return errPreface
	}
	c.handler = handler
	return nil
}
