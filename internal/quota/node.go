// Package quota bounds the requests that each organisation makes through all nodes together. Each
// node counts the requests that enter there and admits them with a probability; for each
// organisation one node, which all can work out, keeps a tally of what all nodes admit and
// decides that probability. docs/design/quotas.md says why. The package does no I/O and reads no
// clock: internal/meshnode sends its datagrams and passes in what arrives.
package quota

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// reportDelay is how long requests are collected before the first report of them, and
	// reportInterval the least time between two reports of a meter. The relaxed ones apply far
	// below the quota.
	reportDelay, reportInterval   = 50 * time.Millisecond, 250 * time.Millisecond
	relaxedDelay, relaxedInterval = 200 * time.Millisecond, 500 * time.Millisecond
	// jumpInterval is the least time between two reports while the local demand jumps: to jumpFactor
	// times the expected requests of an interval, and to minJump.
	jumpInterval        = 25 * time.Millisecond
	jumpFactor, minJump = 2.0, 4.0
	// coalesceTime is how much too early a report may be sent to share a datagram.
	coalesceTime = 25 * time.Millisecond
	// silentTime is after which time without a report a tally node of a limited organisation probes a
	// node that has reported.
	silentTime = 300 * time.Millisecond
	// sampledPeers is the number of nodes that it probes in turn, each silentTime.
	sampledPeers = 16
	// meterLifetime is how long a meter is kept that counts nothing, sweepInterval how often
	// idle ones are looked for.
	meterLifetime, sweepInterval = 20 * time.Second, 5 * time.Second
)

// Organisation is an organisation with a quota.
type Organisation struct {
	Name  string
	Limit Limit
}

// Peer is a node of the fleet.
type Peer struct {
	Address netip.AddrPort
	// Leaving is set while the node shuts down.
	Leaving bool
}

// Datagram is a message to another node.
type Datagram struct {
	To      netip.AddrPort
	Payload []byte
}

// Config is the configuration of a Node.
type Config struct {
	// Self is the address of the node in the directory.
	Self netip.AddrPort
	// Incarnation distinguishes the processes at one address; a later one is larger.
	Incarnation uint64
	// Started is when the process started, by the monotonic clock.
	Started time.Time
	// Random returns numbers from 0 to 1.
	Random func() float64
	// Wake is called when Poll must be called after a time that is earlier than was known before. It
	// must not call methods of the Node.
	Wake func(after time.Duration)
	// OnLimited is called at the tally node when the nodes begin to admit an organisation's requests
	// with a probability below one, and when they admit all again. It must not call methods of the
	// Node.
	OnLimited func(o Organisation, probability float64)
}

// Node is the part of one node in the quotas of all organisations. It is safe for concurrent use.
type Node struct {
	config Config

	mu sync.Mutex
	// organisations holds those with a quota by the hash of the name.
	organisations map[uint64]Organisation
	peers         *peers
	meters        map[uint64]*meter
	// reporting holds the meters that have something to report or an unanswered report.
	reporting []*meter
	tallies   map[uint64]*tally
	// limited holds the tallies whose probability must be announced again.
	limited  map[uint64]*tally
	sequence uint64
	epoch    uint64
	// sampled is the position of the last node that was probed in turn.
	sampled int
	// wakeAt is when Poll is to be called, zero if it need not be.
	wakeAt    time.Time
	lastSweep time.Time
}

// New returns a node that knows no other node and no organisation.
func New(config Config) *Node {
	return &Node{
		config: config, peers: newPeers(config.Self), organisations: make(map[uint64]Organisation),
		meters:  make(map[uint64]*meter),
		tallies: make(map[uint64]*tally), limited: make(map[uint64]*tally),
	}
}

// SetPeers sets the nodes of the fleet, among which this one may be.
func (n *Node) SetPeers(all []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers.replace(all)
}

// SetOrganisations sets the organisations that have a quota, by the hash of the name.
func (n *Node) SetOrganisations(organisations map[uint64]Organisation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.organisations = organisations
	for hash := range n.meters {
		if _, ok := organisations[hash]; !ok {
			delete(n.meters, hash)
		}
	}
	for hash, t := range n.tallies {
		if o, ok := organisations[hash]; ok {
			t.setLimit(o.Limit)
		} else {
			delete(n.tallies, hash)
			delete(n.limited, hash)
		}
	}
}

// Take counts a request of an organisation. It reports whether it is within the quota, and if not,
// after which time another one probably is. An organisation that is not known is not limited.
func (n *Node) Take(now time.Time, organisation uint64) (retryAfter time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	o, known := n.organisations[organisation]
	if !known {
		return 0, true
	}
	m := n.meter(now, organisation)
	env := n.environment()
	ok = m.take(now, o.Limit, env)
	n.schedule(now, m, env)
	return m.retryAfter(), ok
}

// Return gives back a request that was admitted and not run; it arrived at a time.
func (n *Node) Return(now, arrived time.Time, organisation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.meters[organisation]; m != nil && m.giveBack(now, arrived) {
		n.schedule(now, m, n.environment())
	}
}

func (n *Node) environment() environment {
	return environment{started: n.config.Started, nodes: n.peers.size()}
}

// meter returns the meter of an organisation, a new one if there is none.
func (n *Node) meter(now time.Time, organisation uint64) *meter {
	m := n.meters[organisation]
	if m == nil {
		n.epoch++
		m = newMeter(organisation, n.epoch, n.config.Random())
		m.lastUsed = now
		// An earlier process of this node may have used another tally node.
		m.moved = now.Sub(n.config.Started) < coldTime
		n.meters[organisation] = m
	}
	return m
}

// schedule has Poll called when the next report of a meter is due.
func (n *Node) schedule(now time.Time, m *meter, env environment) {
	if !m.queued {
		m.queued = true
		n.reporting = append(n.reporting, m)
	}
	n.wake(now, m.dueAt(now, env))
}

// wake has Poll called at a time, unless it is the zero time or Poll will be called before.
func (n *Node) wake(now, at time.Time) {
	if at.IsZero() || (!n.wakeAt.IsZero() && !at.Before(n.wakeAt)) {
		return
	}
	n.wakeAt = at
	n.config.Wake(max(0, at.Sub(now)))
}

// Poll returns the datagrams that are due.
func (n *Node) Poll(now time.Time) []Datagram {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wakeAt = time.Time{}
	n.peers.findLost(now)
	out := n.sendReports(now)
	for _, organisation := range slices.Sorted(maps.Keys(n.limited)) {
		t := n.limited[organisation]
		t.decide(now, min(n.peers.reachable(now), t.reportingFraction(now, n.peers.size())))
		out = n.probeFleet(now, t, out)
		out = n.announce(now, organisation, t, out)
	}
	n.sweep(now)
	n.scheduleNext(now)
	return out
}

// sendReports returns the reports that are due, one for each tally node and maxEntries.
func (n *Node) sendReports(now time.Time) []Datagram {
	var out []Datagram
	var reports []addressedReport
	env := n.environment()
	due := n.reporting
	n.reporting = nil
	for _, m := range due {
		at := m.dueAt(now, env)
		if at.IsZero() || n.meters[m.organisation] != m {
			m.queued = false
			continue
		}
		n.reporting = append(n.reporting, m)
		if at.After(now.Add(coalesceTime)) {
			continue
		}
		to := n.chooseTally(now, m, &out)
		i := slices.IndexFunc(reports, func(r addressedReport) bool { return r.to == to && len(r.entries) < maxEntries })
		if i < 0 {
			n.sequence++
			i = len(reports)
			reports = append(reports, addressedReport{to: to, report: report{incarnation: n.config.Incarnation, sequence: n.sequence}})
		}
		reports[i].entries = append(reports[i].entries, m.report(now, to, reports[i].sequence))
	}
	for _, r := range reports {
		if r.to == n.config.Self {
			n.acceptRuling(now, r.to, n.receiveReport(now, r.to, r.report, &out))
			continue
		}
		n.peers.noteSent(now, r.to)
		out = append(out, Datagram{To: r.to, Payload: r.encode()})
	}
	return out
}

// chooseTally returns the node that keeps the tally of an organisation. It sends an empty report
// to nodes that would come first if they responded.
func (n *Node) chooseTally(now time.Time, m *meter, out *[]Datagram) netip.AddrPort {
	if m.choiceAt == n.peers.generation && !n.peers.lostPresent {
		return m.choice
	}
	chosen, lost := n.peers.choose(m.organisation)
	m.choice, m.choiceAt = chosen, n.peers.generation
	for _, a := range lost {
		*out = n.probe(now, a, probeInterval, *out)
	}
	return chosen
}

// probe appends an empty report to a node, which answers it, to out, unless it got one lately.
func (n *Node) probe(now time.Time, to netip.AddrPort, interval time.Duration, out []Datagram) []Datagram {
	if !n.peers.probeDue(now, to, interval) {
		return out
	}
	n.sequence++
	n.peers.noteSent(now, to)
	return append(out, Datagram{To: to, Payload: report{incarnation: n.config.Incarnation, sequence: n.sequence}.encode()})
}

// probeFleet probes the nodes that have stopped reporting to a tally, those that have not answered,
// and a few others in turn, so that the part of the fleet in reach is known while a quota applies.
func (n *Node) probeFleet(now time.Time, t *tally, out []Datagram) []Datagram {
	for _, a := range n.peers.order {
		r, o := t.reporters[a], n.peers.others[a]
		switch {
		case o.lost:
			out = n.probe(now, a, probeInterval, out)
		case o.unanswered > 0:
			out = n.probe(now, a, silentTime, out)
		case r != nil && now.Sub(r.lastHeard) > silentTime && now.Sub(r.lastHeard) < reachableWindow:
			out = n.probe(now, a, silentTime, out)
		}
	}
	for range min(sampledPeers, len(n.peers.order)) {
		n.sampled = (n.sampled + 1) % len(n.peers.order)
		out = n.probe(now, n.peers.order[n.sampled], probeInterval, out)
	}
	return out
}

// Receive takes in a datagram and returns those that it causes. It fails if the datagram is not
// of a known version or comes from an address that is not in the directory.
func (n *Node) Receive(now time.Time, from netip.AddrPort, payload []byte) ([]Datagram, error) {
	message, err := decode(payload)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers.others[from] == nil {
		return nil, errSender
	}
	n.peers.noteHeard(from)
	var out []Datagram
	switch message := message.(type) {
	case report:
		answer := n.receiveReport(now, from, message, &out)
		out = append(out, Datagram{To: from, Payload: answer.encode()})
	case ruling:
		n.acceptRuling(now, from, message)
	}
	return out, nil
}

// receiveReport takes in a report and returns the ruling that answers it. It appends announcements
// that it causes to out.
func (n *Node) receiveReport(now time.Time, from netip.AddrPort, r report, out *[]Datagram) ruling {
	answer := ruling{incarnation: n.config.Incarnation, confirmed: r.sequence}
	reachable := n.peers.reachable(now)
	for _, e := range r.entries {
		o, ok := n.organisations[e.organisation]
		if !ok {
			answer.entries = append(answer.entries, rulingEntry{organisation: e.organisation, probability: 1, provisional: true})
			continue
		}
		t := n.tallies[e.organisation]
		if t == nil {
			t = newTally(now, o.Limit, now.Sub(n.config.Started) >= establishedTime)
			n.tallies[e.organisation] = t
		}
		part := min(reachable, t.reportingFraction(now, n.peers.size()))
		t.receive(now, from, r, e, part)
		t.decide(now, part)
		*out = n.announce(now, e.organisation, t, *out)
		answer.entries = append(answer.entries, t.ruling(now, e.organisation))
	}
	n.sequence++
	answer.sequence = n.sequence
	return answer
}

// announce appends the ruling of a tally to out, once for each other node, if that is due.
func (n *Node) announce(now time.Time, organisation uint64, t *tally, out []Datagram) []Datagram {
	if t.announceDue(now) {
		n.sequence++
		r := ruling{incarnation: n.config.Incarnation, sequence: n.sequence, entries: []rulingEntry{t.ruling(now, organisation)}}
		payload := r.encode()
		for _, a := range n.peers.order {
			out = append(out, Datagram{To: a, Payload: payload})
		}
		if wasLimited := t.announced < 1; wasLimited != (t.probability < 1) {
			n.config.OnLimited(n.organisations[organisation], t.probability)
		}
		t.noteAnnounced(now)
		n.acceptRuling(now, n.config.Self, r)
	}
	if t.limited() {
		n.limited[organisation] = t
		n.wake(now, now.Add(silentTime))
	} else {
		delete(n.limited, organisation)
	}
	return out
}

// acceptRuling applies a ruling to the meters. It ignores entries of a node that does not keep
// the tally.
func (n *Node) acceptRuling(now time.Time, from netip.AddrPort, r ruling) {
	for _, e := range r.entries {
		m := n.meters[e.organisation]
		if m == nil {
			if _, ok := n.organisations[e.organisation]; !ok || e.probability >= 1 {
				continue
			}
			m = n.meter(now, e.organisation)
		}
		if m.choiceAt != n.peers.generation {
			m.choice, _ = n.peers.choose(e.organisation)
			m.choiceAt = n.peers.generation
		}
		if m.tally == from || (m.choice == from && !m.tally.IsValid()) {
			m.tally = from
			m.accept(now, r, e)
		}
	}
}

// scheduleNext has Poll called when something is due again.
func (n *Node) scheduleNext(now time.Time) {
	env := n.environment()
	for _, m := range n.reporting {
		n.wake(now, m.dueAt(now, env))
	}
	if len(n.limited) > 0 {
		n.wake(now, now.Add(silentTime))
	}
}

// sweep drops what has been idle for long.
func (n *Node) sweep(now time.Time) {
	if now.Sub(n.lastSweep) < sweepInterval {
		return
	}
	n.lastSweep = now
	for organisation, m := range n.meters {
		if now.Sub(m.lastUsed) > meterLifetime && !m.queued {
			delete(n.meters, organisation)
		}
	}
	for organisation, t := range n.tallies {
		t.forget(now)
		if len(t.reporters) == 0 && n.limited[organisation] == nil {
			delete(n.tallies, organisation)
		}
	}
}

// Status returns the organisations whose tally this node keeps, sorted by name.
func (n *Node) Status(now time.Time) []Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Status, 0, len(n.tallies))
	for organisation, t := range n.tallies {
		o := n.organisations[organisation]
		all = append(all, Status{
			Organisation: o.Name, Rate: t.limit.Rate, Burst: t.limit.Burst, Asked: t.demand.slow.perSecond(now, slowDemand),
			Used: t.admitted.perSecond(now, slowDemand), Refused: t.refused, Probability: t.probability,
		})
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.Organisation, b.Organisation) })
	return all
}
