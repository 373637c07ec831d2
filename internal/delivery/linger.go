package delivery

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

const (
	// lingerTimeout is how long a connection that is closed for writing is read after the remote
	// end has acknowledged everything and sent nothing more: its program may still have to read
	// what its kernel has acknowledged.
	lingerTimeout = 5 * time.Second
	// maxLinger bounds the time for which input is discarded once everything is acknowledged.
	maxLinger = 30 * time.Second
	// lingerCheckInterval is how often a lingering connection without input is examined.
	lingerCheckInterval = 250 * time.Millisecond
)

// CloseWrite closes a connection for writing, so that the remote end sees the end of what was
// written.
func CloseWrite(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// Linger discards the input of a connection that is closed for writing until the remote end closes
// it, or has taken what was written, or no longer takes anything. The caller then closes the
// connection; an earlier close would drop what the remote end has not taken as soon as it sends
// more. Linger returns false if the remote end stopped taking what was written.
func (t *Tracker) Linger(r *bufio.Reader) bool {
	lastInput := time.Now()
	var delivered time.Time
	for {
		_ = t.conn.SetReadDeadline(time.Now().Add(lingerCheckInterval))
		_, err := r.Peek(1)
		_, _ = r.Discard(r.Buffered())
		now := time.Now()
		switch {
		case err == nil:
			lastInput = now
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return true
		}
		t.mu.Lock()
		outstanding, stalled := t.check(now)
		t.mu.Unlock()
		if outstanding {
			if stalled >= StallTimeout {
				return false
			}
			continue
		}
		if delivered.IsZero() {
			delivered = now
		}
		if min(stalled, now.Sub(lastInput)) >= lingerTimeout || now.Sub(delivered) >= maxLinger {
			return true
		}
	}
}
