package quota

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lostTimeout is how long a node may leave reports unanswered before others are used in its
	// place.
	lostTimeout = time.Second
	// probeInterval is how often a lost node gets an empty report, while it would be used.
	probeInterval = time.Second
	// reachableWindow is how far back the nodes count to which something was sent.
	reachableWindow = 3 * time.Second
	// reachableLifetime is how long a computed fraction is used.
	reachableLifetime = 50 * time.Millisecond
)

// peer is another node.
type peer struct {
	seed uint64
	// lastSent is when the last datagram was sent that must be answered, unansweredSince when the
	// first one was that has no answer.
	lastSent, unansweredSince, lastProbe time.Time
	lost                                 bool
	// unanswered is the number of datagrams without an answer.
	unanswered int
	// leaving is set while the node shuts down; it reports, but keeps no tally.
	leaving bool
}

// peers are the other nodes of the directory, with what is known of their reachability.
type peers struct {
	self netip.AddrPort
	seed uint64
	// leaving is set while this node shuts down.
	leaving bool
	others  map[netip.AddrPort]*peer
	// order holds the addresses of others, sorted.
	order []netip.AddrPort
	// contacted holds the nodes that something was sent to lately.
	contacted map[netip.AddrPort]*peer
	// generation rises when the ranking of an organisation may have changed.
	generation  uint64
	fraction    float64
	fractionAt  time.Time
	lostPresent bool
}

func newPeers(self netip.AddrPort) *peers {
	return &peers{
		self: self, seed: addressSeed(self), generation: 1,
		others: make(map[netip.AddrPort]*peer), contacted: make(map[netip.AddrPort]*peer),
	}
}

func addressSeed(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary()
	return xxhash.Sum64(b)
}

// replace sets the nodes of the fleet, among which this one may be.
func (p *peers) replace(all []Peer) {
	known := p.others
	p.others = make(map[netip.AddrPort]*peer, len(all))
	for _, next := range all {
		if next.Address == p.self {
			p.leaving = next.Leaving
			continue
		}
		o := known[next.Address]
		if o == nil {
			o = &peer{seed: addressSeed(next.Address)}
		}
		o.leaving = next.Leaving
		p.others[next.Address] = o
	}
	p.order = slices.SortedFunc(maps.Keys(p.others), netip.AddrPort.Compare)
	for a := range p.contacted {
		if p.others[a] == nil {
			delete(p.contacted, a)
		}
	}
	p.generation++
}

// size returns the number of nodes with this one.
func (p *peers) size() int {
	return len(p.others) + 1
}

// rank orders the nodes for an organisation; the highest keeps its tally.
func rank(seed, organisation uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], seed)
	binary.BigEndian.PutUint64(b[8:], organisation)
	return xxhash.Sum64(b[:])
}

// choose returns the first node of an organisation's ranking that is neither lost nor leaving, and
// those lost that precede it.
func (p *peers) choose(organisation uint64) (chosen netip.AddrPort, lost []netip.AddrPort) {
	chosen = p.self
	best := rank(p.seed, organisation)
	if p.leaving {
		best = 0
	}
	for _, a := range p.order {
		o := p.others[a]
		if r := rank(o.seed, organisation); r > best && !o.lost && !o.leaving {
			chosen, best = a, r
		}
	}
	if p.lostPresent {
		for _, a := range p.order {
			if o := p.others[a]; o.lost && !o.leaving && rank(o.seed, organisation) > best {
				lost = append(lost, a)
			}
		}
	}
	return chosen, lost
}

// noteSent records a datagram that the node must answer.
func (p *peers) noteSent(now time.Time, a netip.AddrPort) {
	o := p.others[a]
	if o == nil {
		return
	}
	o.lastSent = now
	o.unanswered++
	if o.unansweredSince.IsZero() {
		o.unansweredSince = now
	}
	p.contacted[a] = o
}

// noteHeard records a datagram from a node.
func (p *peers) noteHeard(a netip.AddrPort) {
	o := p.others[a]
	if o == nil {
		return
	}
	o.unansweredSince, o.unanswered = time.Time{}, 0
	if o.lost {
		o.lost = false
		p.generation++
	}
}

// findLost marks the nodes as lost that have left reports unanswered for too long.
func (p *peers) findLost(now time.Time) {
	p.lostPresent = false
	for a, o := range p.contacted {
		if now.Sub(o.lastSent) > reachableWindow && !o.lost {
			delete(p.contacted, a)
			o.unansweredSince, o.unanswered = time.Time{}, 0
			continue
		}
		if !o.lost && o.silent(now, lostTimeout) {
			o.lost = true
			p.generation++
		}
		p.lostPresent = p.lostPresent || o.lost
	}
}

// silent reports whether a node was sent something at least this long ago, and again since, and
// has not answered.
func (o *peer) silent(now time.Time, timeout time.Duration) bool {
	return o.unanswered > 1 && !o.unansweredSince.IsZero() && now.Sub(o.unansweredSince) >= timeout
}

// probeDue reports whether a node should get an empty report now, the last one of which is at least
// this long ago.
func (p *peers) probeDue(now time.Time, a netip.AddrPort, interval time.Duration) bool {
	o := p.others[a]
	if o == nil || now.Sub(o.lastProbe) < interval {
		return false
	}
	o.lastProbe = now
	return true
}

// reachable returns the fraction of the fleet, with this node, that answers.
func (p *peers) reachable(now time.Time) float64 {
	if !p.fractionAt.IsZero() && now.Sub(p.fractionAt) < reachableLifetime {
		return p.fraction
	}
	answered, all := 1, 1
	for _, o := range p.contacted {
		if now.Sub(o.lastSent) > reachableWindow {
			continue
		}
		switch {
		case o.silent(now, contactTimeout):
			all++
		case o.unanswered == 0:
			all++
			answered++
		}
	}
	p.fraction, p.fractionAt = float64(answered)/float64(all), now
	return p.fraction
}
