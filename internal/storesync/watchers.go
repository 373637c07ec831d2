package storesync

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardwing/mustardwing/internal/directory"
)

const (
	// watcherCount is the number of nodes that watch a prefix for the fleet. The
	// others learn from them, so calls to the store do not grow with the fleet.
	// With six of them, it is unlikely that the store refuses all at once.
	watcherCount = 6
	// isolatedAfter is how long a node without a successful exchange with another
	// node waits before it watches for itself.
	isolatedAfter = time.Second
	// roleCheck is how often a node looks whether it has to watch.
	roleCheck = 250 * time.Millisecond
)

// watches reports whether this node watches a prefix: it is among the first nodes
// in an order that differs for each prefix, or no other node can tell it news.
func (s *Syncer) watches(prefix string) bool {
	if s.isolated() {
		return true
	}
	self := s.config.Directory.Self().Node
	rank := xxhash.Sum64String(prefix + self)
	before := 0
	s.config.Directory.EachPeer(func(e directory.Entry) {
		if !e.Leaving && xxhash.Sum64String(prefix+e.Node) < rank {
			before++
		}
	})
	return float64(before) < watcherCount/s.config.ReachableFraction()
}

func (s *Syncer) isolated() bool {
	return time.Since(s.config.LastExchange()) > isolatedAfter
}

// share returns this node's part of work that count of the nodes that reach each
// other have to do, one at most.
func (s *Syncer) share(count float64) float64 {
	if s.isolated() {
		return 1
	}
	return min(1, count/(s.config.ReachableFraction()*float64(s.config.Directory.Size())))
}

// awaitRole returns once this node watches a prefix, and whether it had to wait,
// so that changes may have been missed.
func (s *Syncer) awaitRole(ctx context.Context, prefix string) (waited bool) {
	for ctx.Err() == nil && !s.watches(prefix) {
		waited = true
		sleep(ctx, roleCheck)
	}
	return waited
}
