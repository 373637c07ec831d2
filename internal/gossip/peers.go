package gossip

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/directory"
)

const (
	// peerCount is the number of nodes that this one usually exchanges with. A
	// random graph of this degree is connected, and connections to few nodes are
	// used again before they are closed as idle.
	peerCount = 12
	// nearCount is the number of nodes of the own failure domain that are told of
	// news first: bytes between failure domains are paid for.
	nearCount = 8
	// nearPart is the part of those told of news that are in the own failure domain.
	nearPart = 2.0 / 3
	// strangerPart is the part of exchanges with a node chosen among all, which
	// joins groups whose usual peers do not meet.
	strangerPart = 0.1
	// peersRefresh is how long a choice holds while the directory changes.
	peersRefresh = time.Second
	// firstRefresh is that time while few nodes are known: those that start together
	// would all go on asking the seeds.
	firstRefresh = 20 * time.Millisecond
)

// peers chooses the nodes that this one talks to. The choice is stable: a change of
// the directory replaces only the peers that went away or that a new node outranks.
type peers struct {
	directory *directory.Directory
	seeds     []string

	mu     sync.Mutex
	chosen time.Time
	// generation is that of the directory at the choice.
	generation uint64
	// usual are among all nodes, near in the own failure domain, all is every node.
	usual, near, all []string
}

// forExchange returns the address of one node, false without any.
func (p *peers) forExchange(now time.Time) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	from := p.usual
	if rand.Float64() < strangerPart {
		from = p.all
	}
	if len(from) == 0 {
		return "", false
	}
	return from[rand.IntN(len(from))], true
}

// forNews returns up to n different addresses.
func (p *peers) forNews(now time.Time, n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	near := min(len(p.near), int(nearPart*float64(n)+0.5))
	chosen := sample(p.near, near, nil)
	chosen = append(chosen, sample(p.usual, n-len(chosen), chosen)...)
	return append(chosen, sample(p.all, n-len(chosen), chosen)...)
}

// refresh renews the choice when the directory lists other nodes than it did. The
// caller holds the lock.
func (p *peers) refresh(now time.Time) {
	age := now.Sub(p.chosen)
	if age < peersRefresh && (len(p.all) >= 2*peerCount || age < firstRefresh) {
		return
	}
	p.chosen = now
	generation := p.directory.Generation()
	if generation == p.generation {
		return
	}
	p.generation = generation
	self := p.directory.Self()
	usual, near := newRanking(self.Address, peerCount), newRanking(self.Address, nearCount)
	p.all = make([]string, 0, len(p.all))
	p.directory.EachPeer(func(e directory.Entry) {
		p.all = append(p.all, e.Address)
		usual.offer(e.Address)
		if e.FailureDomain == self.FailureDomain {
			near.offer(e.Address)
		}
	})
	p.usual, p.near = usual.addresses(), near.addresses()
	if len(p.all) == 0 {
		// Nothing but the seeds is known yet.
		p.all, p.usual = p.seeds, p.seeds
	}
}

// sample returns up to n random addresses that are not in without.
func sample(addresses []string, n int, without []string) []string {
	if n <= 0 {
		return nil
	}
	var chosen []string
	for _, i := range rand.Perm(len(addresses)) {
		if len(chosen) >= n {
			break
		}
		if !slices.Contains(without, addresses[i]) {
			chosen = append(chosen, addresses[i])
		}
	}
	return chosen
}
