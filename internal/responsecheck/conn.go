package responsecheck

import (
	"net"
	"sync"
)

// Conn is a client's connection whose reads check the headers of responses. It is for clients that
// leave reading to net/http.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// head checks the response to the latest request. requested is set once there is one.
	head      Head
	requested bool
}

// NewConn returns a Conn on which no response is expected yet.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// ExpectResponse is called when the connection has been chosen for a request, before it is written:
// what is read from then on is the response.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Reset()
	c.requested = true
}

// Read implements net.Conn. It fails with an Error once a header is not valid.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requested {
		return n, err
	}
	if invalid := c.head.Check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}
