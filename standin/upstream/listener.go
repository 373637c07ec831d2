package upstream

import (
	"net"
	"sync"
)

// limitListener closes connections beyond a limit as soon as they are accepted.
type limitListener struct {
	net.Listener
	// tokens holds one value for each open connection.
	tokens chan struct{}
}

// limitConnections limits the number of open connections of a listener. A limit of zero
// means none.
func limitConnections(l net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return l
	}
	return &limitListener{Listener: l, tokens: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.tokens <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.tokens })}, nil
		default:
			_ = conn.Close()
		}
	}
}

// limitedConn is a connection that counts against the limit until it is closed.
type limitedConn struct {
	net.Conn
	// release may be called more than once.
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
