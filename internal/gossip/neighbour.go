package gossip

import (
	"sync"
	"time"
)

const (
	// deadAfter and deadFailures are how long and how often a neighbour must fail
	// to respond before its entry is removed. A restart takes a few seconds.
	deadAfter    = 15 * time.Second
	deadFailures = 5
)

// neighbour is the node that this node watches for the fleet: its successor in
// the order of the addresses.
type neighbour struct {
	mu       sync.Mutex
	node     string
	version  uint64
	failures int
	since    time.Time
}

// observe takes in one exchange with the neighbour and reports whether it counts
// as dead now.
func (n *neighbour) observe(now time.Time, node string, version uint64, failed bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.node != node || n.version != version || !failed {
		n.node, n.version, n.failures, n.since = node, version, 0, now
	}
	if !failed {
		return false
	}
	n.failures++
	return n.failures >= deadFailures && now.Sub(n.since) >= deadAfter
}
