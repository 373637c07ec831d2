package gossip

import (
	"sync"
	"time"
)

const (
	// deadAfter and deadFailures are for how long and how often the successor must have
	// failed to respond before its entry is removed. They tolerate a restart, which takes a
	// few seconds.
	deadAfter    = 15 * time.Second
	deadFailures = 5
)

// successorMonitor detects the death of the node that this node monitors on behalf of
// the fleet: its successor in the order of the addresses.
type successorMonitor struct {
	mu sync.Mutex
	// node and version identify the entry of the successor that was observed last.
	node    string
	version uint64
	// failures counts the failed exchanges since the last reset, which was at resetAt.
	failures int
	resetAt  time.Time
}

// observe records the outcome of an exchange with the successor and reports whether the
// successor counts as dead now. A new successor, a new version of its entry or a
// successful exchange resets the count of failures.
func (m *successorMonitor) observe(now time.Time, node string, version uint64, failed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node != node || m.version != version || !failed {
		m.node, m.version, m.failures, m.resetAt = node, version, 0, now
	}
	if !failed {
		return false
	}
	m.failures++
	return m.failures >= deadFailures && now.Sub(m.resetAt) >= deadAfter
}
