package upstream

import (
	"context"
	"time"
)

// probePeriod is how often an unreachable upstream's port is tried.
const probePeriod = 250 * time.Millisecond

// unreachable is called by a link when a connection attempt failed. The
// upstream counts as not ready until its port takes connections again.
func (u *Upstream) unreachable(l *link) {
	u.lost.Inc(1)
	u.mu.Lock()
	current := u.link == l && u.state.Reachable
	u.mu.Unlock()
	if !current {
		return
	}
	u.change(func(s *State) {
		if u.link == l && s.Reachable {
			s.Reachable = false
			go u.probe(l)
		}
	})
}

// probe tries the port until it answers or the link is replaced.
func (u *Upstream) probe(l *link) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for range ticker.C {
		if l.isClosed() {
			return
		}
		if !l.answers() {
			continue
		}
		u.change(func(s *State) {
			if u.link == l {
				s.Reachable = true
			}
		})
		return
	}
}

func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// answers reports whether the port takes a connection.
func (l *link) answers() bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := l.dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
