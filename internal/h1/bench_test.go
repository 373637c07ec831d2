package h1

import (
	"net"
	"testing"
)

// repeatingConn reads as the same bytes again and again.
type repeatingConn struct {
	net.Conn
	bytes string
	next  int
}

func (c *repeatingConn) Read(p []byte) (int, error) {
	n := copy(p, c.bytes[c.next:])
	c.next = (c.next + n) % len(c.bytes)
	return n, nil
}

func BenchmarkReadResponse(b *testing.B) {
	c := newClientConn(NewPool(PoolConfig{MaxResponseBytes: 1 << 16}), &repeatingConn{bytes: "HTTP/1.1 200 OK\r\nX-Mustardwing-Request-Id: 9c41d07be2a35f68\r\n" +
		"X-Mustardwing-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nDate: Sat, 05 Dec 2026 17:00:00 GMT\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 4\r\n\r\nbody"})
	r := request("1")
	for b.Loop() {
		if _, err := c.readResponse(r); err != nil {
			b.Fatal(err)
		}
	}
}
