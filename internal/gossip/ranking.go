package gossip

import (
	"github.com/cespare/xxhash/v2"
)

// ranking keeps the addresses that rank highest for one node, by rendezvous hashing.
// Each node ranks its peers in a different order, so that the choices of all nodes form
// a random graph.
type ranking struct {
	self uint64
	size int
	// best is sorted by descending rank.
	best []ranked
}

type ranked struct {
	address string
	rank    uint64
}

func newRanking(self string, size int) *ranking {
	return &ranking{self: xxhash.Sum64String(self), size: size, best: make([]ranked, 0, size+1)}
}

// mix is the finalizer of MurmurHash3. It spreads the difference of two numbers over
// all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (r *ranking) add(address string) {
	rank := mix(xxhash.Sum64String(address) ^ r.self)
	if len(r.best) == r.size && rank <= r.best[r.size-1].rank {
		return
	}
	r.best = append(r.best, ranked{address, rank})
	for i := len(r.best) - 1; i > 0 && r.best[i].rank > r.best[i-1].rank; i-- {
		r.best[i], r.best[i-1] = r.best[i-1], r.best[i]
	}
	r.best = r.best[:min(len(r.best), r.size)]
}

func (r *ranking) addresses() []string {
	list := make([]string, 0, len(r.best))
	for _, b := range r.best {
		list = append(list, b.address)
	}
	return list
}
