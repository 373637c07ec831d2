package gossip

import "sync"

const (
	// reachWeight is the weight of one more exchange: after four failures in a row
	// three quarters are gone.
	reachWeight = 0.3
	// newsFanout is the number of nodes that are told of news at once, maxFanout
	// that while few of them can be reached.
	newsFanout = 3
	maxFanout  = 10
	// minReach keeps some of the nodes in the count.
	minReach = 0.02
)

// reach estimates the part of the other nodes that this one can exchange with. A
// node that is cut off with some others then counts only these.
type reach struct {
	mu     sync.Mutex
	missed float64
}

func (r *reach) observe(succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	missed := 1.0
	if succeeded {
		missed = 0
	}
	r.missed += reachWeight * (missed - r.missed)
}

func (r *reach) part() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(minReach, 1-r.missed)
}

// fanout returns how many nodes are told of news.
func (r *reach) fanout() int {
	return min(maxFanout, int(newsFanout/r.part()+0.5))
}
