package gossip

import "sync"

const (
	// reachabilityWeight is the weight of the latest exchange in the moving average: four
	// failures in a row reduce the estimate by three quarters.
	reachabilityWeight = 0.3
	// minFanout is the number of peers that an update is sent to while all nodes are
	// reachable: a change then reaches a hundred nodes after it has been forwarded about
	// four times. The number grows up to maxFanout while few nodes are reachable.
	minFanout = 3
	maxFanout = 10
	// minReachableFraction bounds the estimate from below, so that a node never counts
	// all others as unreachable.
	minReachableFraction = 0.02
)

// reachability estimates the fraction of the other nodes that this node can exchange
// with, so that a node that is partitioned together with some others counts only these.
type reachability struct {
	mu sync.Mutex
	// failedFraction is a moving average of the fraction of exchanges that failed.
	failedFraction float64
}

// observe records the outcome of an exchange.
func (r *reachability) observe(succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := 1.0
	if succeeded {
		failed = 0
	}
	r.failedFraction += reachabilityWeight * (failed - r.failedFraction)
}

// fraction returns the estimate, at least minReachableFraction.
func (r *reachability) fraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(minReachableFraction, 1-r.failedFraction)
}

// fanout returns the number of peers that an update is sent to.
func (r *reachability) fanout() int {
	return min(maxFanout, int(minFanout/r.fraction()+0.5))
}
