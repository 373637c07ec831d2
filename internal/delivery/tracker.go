// Package delivery tells what the remote end of a TCP connection has taken of what was written
// to it, and closes a connection without losing the rest. The kernel takes a write long before
// the remote end does, and drops what is left of it when a closed connection receives more input.
// The servers of both daemons call it.
package delivery

import (
	"net"
	"sync"
	"time"
)

const (
	// StallTimeout is how long a remote end may acknowledge nothing of what was written before
	// the rest is given up.
	StallTimeout = 20 * time.Second
	// closeDelay is how long after its last acknowledgement a remote end is expected to close a
	// connection on which it has got everything.
	closeDelay = 500 * time.Millisecond
)

// Tracker follows what was written to one connection. It is safe for concurrent use.
type Tracker struct {
	conn net.Conn

	mu sync.Mutex
	// written is set by the first write. closing is set when nothing more will be written.
	written, closing bool
	// acked is the number of bytes that the remote end has acknowledged, progress when that
	// last rose or something was written.
	acked    uint64
	progress time.Time
	// expires is when the remote end no longer waits for what was written, zero if not known.
	expires time.Time
}

// NewTracker returns a tracker of a connection on which nothing was written.
func NewTracker(conn net.Conn) *Tracker {
	return &Tracker{conn: conn}
}

// Wrote notes a write that has returned. expires is when the remote end no longer waits for it,
// zero if that is not known. closing is set for the last write of the connection.
func (t *Tracker) Wrote(now, expires time.Time, closing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.written, t.closing = true, t.closing || closing
	t.progress, t.expires = now, expires
}

// close notes that nothing more will be written.
func (t *Tracker) close(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing, t.progress = true, now
}

// Pending reports whether the remote end may still be taking what was written, or, after the last
// write, has not had closeDelay to close the connection.
func (t *Tracker) Pending(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.written || (!t.expires.IsZero() && now.After(t.expires)) {
		return false
	}
	outstanding, stalled := t.check(now)
	if outstanding {
		return stalled < StallTimeout
	}
	return t.closing && stalled < closeDelay
}

// check reports whether bytes are not acknowledged, and how long ago the remote end last
// acknowledged some or something was written. mu must be held.
func (t *Tracker) check(now time.Time) (outstanding bool, stalled time.Duration) {
	p, _ := ReadProgress(t.conn)
	if p.Acked != t.acked {
		t.acked, t.progress = p.Acked, now
	}
	return p.Outstanding(), now.Sub(t.progress)
}
