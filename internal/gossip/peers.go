package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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

// refresh renews the choice when it is old or empty. The caller holds the lock.
func (p *peers) refresh(now time.Time) {
	age := now.Sub(p.chosen)
	if age < peersRefresh && (len(p.all) >= 2*peerCount || age < firstRefresh) {
		return
	}
	p.chosen = now
	self := p.directory.Self()
	var all, near []string
	for _, e := range p.directory.Others() {
		all = append(all, e.Address)
		if e.FailureDomain == self.FailureDomain {
			near = append(near, e.Address)
		}
	}
	if len(all) == 0 {
		// Nothing but the seeds is known yet.
		all = slices.Clone(p.seeds)
	}
	p.all = all
	p.usual = highest(self.Address, all, peerCount)
	p.near = highest(self.Address, near, nearCount)
}

// highest returns the n addresses with the highest rank for this node. Each node
// ranks the others in its own order, so that the choices form a random graph.
func highest(self string, addresses []string, n int) []string {
	type ranked struct {
		address string
		rank    uint64
	}
	all := make([]ranked, 0, len(addresses))
	for _, a := range addresses {
		all = append(all, ranked{a, xxhash.Sum64String(self + " " + a)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var chosen []string
	for _, r := range all[:min(n, len(all))] {
		chosen = append(chosen, r.address)
	}
	return chosen
}

// sample returns up to n random addresses that are not in without.
func sample(addresses []string, n int, without []string) []string {
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
