package upstream

import (
	"sync"

	"github.com/pkg/errors"
)

// errReplay stops net/http's Transport from sending a request a second time on
// another connection after part of it was written to a first one.
var errReplay = errors.New("request was already written to another connection")

// attempt tracks the connection and the bytes written of one request in the
// transport.
type attempt struct {
	mu sync.Mutex
	// conn is the connection that the transport chose last, nil before the first one.
	conn *conn
	// written is the number of bytes written on all connections.
	written int64
	// replayBlocked is set once the transport has chosen another connection after part of
	// the request was written. Nothing more is written then.
	replayBlocked bool
	// invalid is the error of a response that is not valid, nil if there is none.
	invalid error
}

// bind records the connection that the transport has chosen. It is called before
// the transport writes.
func (a *attempt) bind(c *conn) {
	a.mu.Lock()
	a.conn = c
	if a.written > 0 {
		a.replayBlocked = true
	}
	a.mu.Unlock()
	c.currentAttempt.Store(a)
	c.ExpectResponse()
}

// mayWrite reports whether the request may be written to c: c is the connection that the
// transport chose last, and no replay was blocked.
func (a *attempt) mayWrite(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.replayBlocked && a.conn == c
}

func (a *attempt) addWritten(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.written += int64(n)
}

func (a *attempt) noteInvalid(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.invalid = err
}

// outcome returns the number of bytes written, whether a replay was blocked, and the error of a
// response that is not valid.
func (a *attempt) outcome() (written int64, replayBlocked bool, invalid error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written, a.replayBlocked, a.invalid
}
