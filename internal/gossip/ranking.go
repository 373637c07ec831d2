package gossip

import (
	"github.com/cespare/xxhash/v2"
)

// ranking keeps the addresses with the highest scores for one node, by rendezvous
// hashing. The scores of the same peers are in a different order for each node, so that
// the choices of all nodes form a random graph.
type ranking struct {
	// selfHash is the hash of the node's own address.
	selfHash uint64
	// limit is the largest number of addresses kept.
	limit int
	// best is sorted by descending score.
	best []scoredPeer
}

type scoredPeer struct {
	address string
	score   uint64
}

// newRanking returns a ranking without addresses for the node at the address self.
func newRanking(self string, limit int) *ranking {
	return &ranking{selfHash: xxhash.Sum64String(self), limit: limit, best: make([]scoredPeer, 0, limit+1)}
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

// add keeps an address if its score is among the limit highest so far.
func (r *ranking) add(address string) {
	score := mix(xxhash.Sum64String(address) ^ r.selfHash)
	if len(r.best) == r.limit && score <= r.best[r.limit-1].score {
		return
	}
	r.best = append(r.best, scoredPeer{address, score})
	for i := len(r.best) - 1; i > 0 && r.best[i].score > r.best[i-1].score; i-- {
		r.best[i], r.best[i-1] = r.best[i-1], r.best[i]
	}
	r.best = r.best[:min(len(r.best), r.limit)]
}

// addresses returns the kept addresses by descending score.
func (r *ranking) addresses() []string {
	list := make([]string, 0, len(r.best))
	for _, b := range r.best {
		list = append(list, b.address)
	}
	return list
}
