package gossip

import "time"

const (
	// deadAfter and deadFailures are how long and how often a neighbour must fail
	// to respond before its entry is removed. A restart takes a few seconds.
	deadAfter    = 15 * time.Second
	deadFailures = 5
)

// neighbour is the node that this node watches for the fleet: its successor in
// the order of the addresses.
type neighbour struct {
	node     string
	version  uint64
	failures int
	since    time.Time
}

// observe takes in one exchange with the neighbour and reports whether it counts
// as dead now.
func (n *neighbour) observe(now time.Time, node string, version uint64, failed bool) bool {
	if n.node != node || n.version != version || !failed {
		*n = neighbour{node: node, version: version, since: now}
	}
	if !failed {
		return false
	}
	n.failures++
	return n.failures >= deadFailures && now.Sub(n.since) >= deadAfter
}
