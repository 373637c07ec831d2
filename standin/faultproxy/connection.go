package faultproxy

import (
	"context"
	"net"
	"sync/atomic"
)

// connection is the client's TCP connection and the one that the proxy opened to the
// target for it.
type connection struct {
	client, server *net.TCPConn
	cancel         context.CancelFunc
	// passed counts the bytes of each direction while a fault of mode CutAfter applies to
	// that direction.
	passed [2]atomic.Int64
}

func (c *connection) close(reset bool) {
	c.cancel()
	closeTCP(c.client, reset)
	closeTCP(c.server, reset)
}

// closeTCP closes a connection. With reset it discards unsent data and sends a TCP
// reset.
func closeTCP(conn *net.TCPConn, reset bool) {
	if reset {
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
}
