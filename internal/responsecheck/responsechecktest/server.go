package responsechecktest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve responds to each request with the given bytes, closes the connection, and returns the address.
func Serve(t testing.TB, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respondOnce(c, response)
		}
	}()
	return l.Addr().String()
}

func respondOnce(c net.Conn, response string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, response)
}
