package upstream

import (
	"sync"

	"github.com/pkg/errors"
)

// errReplay stops net/http's Transport from sending a request a second time on
// another connection after part of it was written to a first one.
var errReplay = errors.New("request was already written to another connection")

// attempt follows one request through the transport.
type attempt struct {
	mu      sync.Mutex
	conn    *conn
	written int64
	blocked bool
}

// use is called when the transport has chosen a connection, before it writes.
func (a *attempt) use(c *conn) {
	a.mu.Lock()
	a.conn = c
	if a.written > 0 {
		a.blocked = true
	}
	a.mu.Unlock()
	c.user.Store(a)
}

// mayWrite reports whether the request may be written to c.
func (a *attempt) mayWrite(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.blocked && a.conn == c
}

func (a *attempt) wrote(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.written += int64(n)
}

// outcome returns the bytes written so far and whether a replay was stopped.
func (a *attempt) outcome() (written int64, replayed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written, a.blocked
}
