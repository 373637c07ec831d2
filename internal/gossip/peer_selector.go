package gossip

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/directory"
)

const (
	// preferredCount is the number of peers that this node usually exchanges with. A
	// random graph of this degree is almost certainly connected, and connections to few
	// peers are reused before they are closed as idle.
	preferredCount = 12
	// sameDomainCount is the number of peers in this node's failure domain among which the
	// receivers of updates are chosen first, since traffic between failure domains costs
	// money.
	sameDomainCount = 8
	// sameDomainFraction is the fraction of an update's receivers that are in this node's
	// failure domain.
	sameDomainFraction = 2.0 / 3
	// randomPeerFraction is the fraction of exchanges with a peer chosen among all nodes.
	// These exchanges connect groups of nodes that no preferred peers connect.
	randomPeerFraction = 0.1
	// refreshInterval is the time between two selections while the directory changes.
	refreshInterval = time.Second
	// startupRefreshInterval replaces refreshInterval while few nodes are known. Without
	// it, nodes that start together would all keep contacting the seeds.
	startupRefreshInterval = 20 * time.Millisecond
)

// peerSelector chooses the peers that this node contacts. The selection is stable: a
// change of the directory replaces only the peers that left or whose score is below that
// of a new node.
type peerSelector struct {
	directory *directory.Directory
	// seeds are the addresses to contact while the directory holds no other node.
	seeds []string

	mu sync.Mutex
	// lastRefresh is when refresh last looked for a change of the directory.
	lastRefresh time.Time
	// generation is the directory's generation at the last selection. It changes with the
	// set of nodes, their addresses and their failure domains.
	generation uint64
	// preferred holds the addresses of the preferredCount peers with the highest scores,
	// sameDomain those of the sameDomainCount peers with the highest scores in this node's
	// failure domain, and all those of every peer. While the directory holds no peer,
	// preferred and all hold the seeds.
	preferred, sameDomain, all []string
}

// forExchange returns the address of a peer to exchange with, or false if there is none.
func (p *peerSelector) forExchange(now time.Time) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	from := p.preferred
	if rand.Float64() < randomPeerFraction {
		from = p.all
	}
	if len(from) == 0 {
		return "", false
	}
	return from[rand.IntN(len(from))], true
}

// forUpdate returns up to n different addresses to send an update to. It chooses up to
// sameDomainFraction of them among the peers in sameDomain, and the rest among the
// preferred ones or, if these are too few, among all.
func (p *peerSelector) forUpdate(now time.Time, n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	fromSameDomain := min(len(p.sameDomain), int(sameDomainFraction*float64(n)+0.5))
	chosen := sample(p.sameDomain, fromSameDomain, nil)
	chosen = append(chosen, sample(p.preferred, n-len(chosen), chosen)...)
	return append(chosen, sample(p.all, n-len(chosen), chosen)...)
}

// refresh renews the selection if the set of nodes in the directory or their addresses or
// failure domains have changed, at most once in each refresh interval. The lock must be
// held.
func (p *peerSelector) refresh(now time.Time) {
	age := now.Sub(p.lastRefresh)
	if age < refreshInterval && (len(p.all) >= 2*preferredCount || age < startupRefreshInterval) {
		return
	}
	p.lastRefresh = now
	generation := p.directory.Generation()
	if generation == p.generation {
		return
	}
	p.generation = generation
	self := p.directory.Self()
	preferred, sameDomain := newRanking(self.Address, preferredCount), newRanking(self.Address, sameDomainCount)
	p.all = make([]string, 0, len(p.all))
	p.directory.EachPeer(func(e directory.Entry) {
		p.all = append(p.all, e.Address)
		preferred.add(e.Address)
		if e.FailureDomain == self.FailureDomain {
			sameDomain.add(e.Address)
		}
	})
	p.preferred, p.sameDomain = preferred.addresses(), sameDomain.addresses()
	if len(p.all) == 0 {
		// Only the seeds are known so far.
		p.all, p.preferred = p.seeds, p.seeds
	}
}

// sample returns up to n random addresses that are not in excluded.
func sample(addresses []string, n int, excluded []string) []string {
	if n <= 0 {
		return nil
	}
	var chosen []string
	for _, i := range rand.Perm(len(addresses)) {
		if len(chosen) >= n {
			break
		}
		if !slices.Contains(excluded, addresses[i]) {
			chosen = append(chosen, addresses[i])
		}
	}
	return chosen
}
