package upstream

import (
	"context"
	"time"
)

// probePeriod is the interval at which the port of an unreachable upstream is probed.
const probePeriod = 250 * time.Millisecond

// markUnreachable is called by a connection pool when a dial failed. If the pool is still
// the current one, the upstream then counts as unreachable until a probe finds that its
// port accepts connections again.
func (u *Upstream) markUnreachable(p *connPool) {
	u.dialFailures.Inc(1)
	u.mu.Lock()
	current := u.pool == p && u.state.Reachable
	u.mu.Unlock()
	if !current {
		return
	}
	u.change(func(s *State) {
		if u.pool == p && s.Reachable {
			s.Reachable = false
			go u.probe(p)
		}
	})
}

// probe dials the port until it accepts a connection or the pool is closed.
func (u *Upstream) probe(p *connPool) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for range ticker.C {
		if p.isClosed() {
			return
		}
		if !p.acceptsConnection() {
			continue
		}
		u.change(func(s *State) {
			if u.pool == p {
				s.Reachable = true
			}
		})
		return
	}
}

func (p *connPool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// acceptsConnection reports whether the port accepts a connection.
func (p *connPool) acceptsConnection() bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
