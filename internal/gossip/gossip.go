// Package gossip disseminates the directory and the configuration from node to node,
// so that nodes that cannot reach the platform's store learn from those that can.
// Each node periodically reconciles differences with one peer, and sends updates to a
// few peers immediately.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/supervise"
)

const (
	// interval is the mean time between two ticks of a node, each of which starts an
	// exchange with one peer.
	interval = 500 * time.Millisecond
	// requestTimeout bounds one request with its response; an exchange takes up to four.
	// It is far above a round trip between regions.
	requestTimeout = 600 * time.Millisecond
	// updateGap is the minimum time between two rounds of updates. A single change is
	// sent immediately; when many nodes change at the same time, their entries are sent
	// in one message.
	updateGap = 20 * time.Millisecond
	// maxForwarded is the largest number of changed entries that are forwarded as an
	// update. A node that learns more at once was behind its peers, which already have
	// these entries or find the difference in their next exchanges.
	maxForwarded = 64
	// maxTransferred is the number of entries transferred in each direction in one
	// exchange. A starting node lacks all entries and would otherwise fetch them from
	// one of the few seeds; it gets the rest from the nodes that it learns of, in
	// exchanges that are catchUpPause apart.
	maxTransferred = 48
	// maxReported bounds the nodes to which one call of ReportSpoiled sends a message.
	maxReported = 32
	// leaveReporters is how many nodes, on average, report a leave that a node does not know after
	// its restart. With six of them it is unlikely that none does.
	leaveReporters = 6
	// catchUpPause is the pause before each exchange of catchUp.
	catchUpPause = 50 * time.Millisecond
	// maxMessageBytes bounds a decoded message. It holds the directory of a thousand
	// nodes and a configuration of the largest size that the store accepts.
	maxMessageBytes = 4 << 20
)

// Sender sends a request to the node at an address and returns the response.
type Sender interface {
	Exchange(ctx context.Context, address string, r *h1.Request, deadline time.Time) (*h1.Response, error)
}

// Config holds what a Gossiper needs.
type Config struct {
	Directory *directory.Directory
	// Document holds the operators' configuration.
	Document *Document
	StoreEra *StoreEra
	// StoreTrouble is what the nodes know of failed calls to the store.
	StoreTrouble *StoreTrouble
	Sender       Sender
	// Seeds are the addresses to contact while the directory holds no other node.
	Seeds []string
	// OnRemoved is called with a dead node after this node has removed its entry from the
	// directory.
	OnRemoved func(node string)
	// OnSpoiled, unless nil, is called when a peer reports that the store holds something else
	// in the place of this node's entry.
	OnSpoiled func()
	Log       zerolog.Logger
	Scope     tally.Scope
}

// Gossiper runs the gossip protocol of one node.
type Gossiper struct {
	config Config
	// exchanges counts the exchanges whose first request got a usable response.
	exchanges tally.Counter
	// failures counts the requests that got no usable response, except those of sendPending.
	failures tally.Counter
	// pendingSignal wakes Run to send the pending entries, and the configuration to peers
	// that report an older version of it.
	pendingSignal chan struct{}
	// tickCount counts the ticks; only Run accesses it.
	tickCount    int
	successor    successorMonitor
	reachability reachability
	peers        peerSelector
	// lastReceived is when this node last received a request from a peer, or a usable
	// response to the first request of an exchange.
	lastReceived atomic.Pointer[time.Time]
	// behind is set by an exchange that left differences, catchingUp while a
	// goroutine runs catchUp, which clears behind.
	behind, catchingUp atomic.Bool

	mu      sync.Mutex
	pending map[string]directory.Entry // Entries of the next update, by node.
}

// New returns a gossiper that does nothing until Run is called.
func New(config Config) *Gossiper {
	g := &Gossiper{
		config:        config,
		exchanges:     config.Scope.Counter("gossip_exchanges"),
		failures:      config.Scope.Counter("gossip_failures"),
		pendingSignal: make(chan struct{}, 1),
		pending:       make(map[string]directory.Entry),
		peers:         peerSelector{directory: config.Directory, seeds: config.Seeds},
	}
	config.StoreTrouble.OnBegin(g.DisseminateConfig)
	return g
}

// Disseminate makes Run send changed entries to a few peers immediately. With more than
// maxForwarded entries it sends none and leaves all of them to the regular exchanges.
func (g *Gossiper) Disseminate(entries []directory.Entry) {
	if len(entries) > maxForwarded {
		return
	}
	g.mu.Lock()
	for _, e := range entries {
		g.pending[e.Node] = e
	}
	g.mu.Unlock()
	g.DisseminateConfig()
}

// DisseminateConfig signals Run, which immediately sends the pending entries to a few
// peers, and the configuration to those of them that report an older version of it.
func (g *Gossiper) DisseminateConfig() {
	select {
	case g.pendingSignal <- struct{}{}:
	default:
	}
}

// ReportSpoiled tells nodes that the store holds something else in the place of their entries.
// It does not wait for their responses, and sends nothing to nodes that are not known.
func (g *Gossiper) ReportSpoiled(ctx context.Context, nodes []string) {
	for _, e := range g.config.Directory.Entries(nodes[:min(len(nodes), maxReported)]) {
		if !e.Removed && e.Node != g.config.Directory.Self().Node {
			go g.sendUpdate(ctx, e.Address, message{UpdateOnly: true, Spoiled: true})
		}
	}
}

// ReportLeave sends a node the entry that an earlier process of it had, whose upstream leaves,
// because the node's newer entry does not show that. All nodes that know of the leave notice this;
// about leaveReporters of them send it. It does not wait for a response.
func (g *Gossiper) ReportLeave(ctx context.Context, known, newer directory.Entry) {
	if newer.Removed || rand.Float64()*float64(g.config.Directory.Size()) >= leaveReporters {
		return
	}
	g.config.Log.Info().Str("entry", known.Node).Uint64("version", known.Version).Str("instance", known.Upstream.ID).
		Uint64("newer", newer.Version).Msg("newer entry of a node does not show that its upstream leaves; telling the node")
	go supervise.Once(g.config.Log, "leave report", func() {
		g.sendUpdate(ctx, newer.Address, message{UpdateOnly: true, Entries: []directory.Entry{known}})
	})
}

// Run exchanges with peers until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	timer := time.NewTimer(g.pause())
	defer timer.Stop()
	// signal is nil during the gap after each round of updates.
	signal := g.pendingSignal
	gap := time.NewTimer(updateGap)
	defer gap.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signal:
			g.sendPending(ctx)
			gap.Reset(updateGap)
			signal = nil
		case <-gap.C:
			signal = g.pendingSignal
		case <-timer.C:
			g.tickCount++
			tickCount := g.tickCount
			go supervise.Once(g.config.Log, "gossip exchange", func() { g.tick(ctx, tickCount) })
			timer.Reset(g.pause())
		}
	}
}

// tick exchanges with the successor, the next node in the order of the addresses, in even
// ticks, and removes its entry if it counts as dead. In odd ticks, and while there is no
// successor, it exchanges with a peer that the peer selector chooses, if there is one, and
// catches up.
func (g *Gossiper) tick(ctx context.Context, tickCount int) {
	if next, ok := g.config.Directory.Successor(); ok && tickCount%2 == 0 {
		failed := !g.exchange(ctx, next.Address)
		if ctx.Err() == nil && g.successor.observe(time.Now(), next.Node, next.Version, failed) {
			g.config.Log.Warn().Str("entry", next.Node).Uint64("version", next.Version).Msg("node does not respond; removing its entry")
			if g.config.Directory.Remove(next.Node, next.Version) {
				g.config.OnRemoved(next.Node)
			}
		}
		return
	}
	if peer, ok := g.peers.forExchange(time.Now()); ok {
		g.exchange(ctx, peer)
	}
	g.catchUp(ctx)
}

// pause returns a random interval, so that nodes that were started together do not
// exchange in lockstep.
func (g *Gossiper) pause() time.Duration {
	return interval/2 + rand.N(interval)
}

// sendPending sends an update with the pending entries, of which there may be none, to a
// few peers, and the configuration to those of them that report an older version of it.
func (g *Gossiper) sendPending(ctx context.Context) {
	g.mu.Lock()
	m := message{UpdateOnly: true}
	for _, e := range g.pending {
		m.Entries = append(m.Entries, e)
	}
	clear(g.pending)
	g.mu.Unlock()
	for _, peer := range g.peers.forUpdate(time.Now(), g.reachability.fanout()) {
		go supervise.Once(g.config.Log, "gossip update", func() {
			response, err := g.send(ctx, peer, m)
			if err == nil {
				g.sendConfig(ctx, peer, response)
			}
		})
	}
}

// recordReceived records that a message from a peer has just been received.
func (g *Gossiper) recordReceived() {
	now := time.Now()
	g.lastReceived.Store(&now)
}

// LastReceived returns when this node last received a message from a peer, or the zero
// time if it never did.
func (g *Gossiper) LastReceived() time.Time {
	if at := g.lastReceived.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ReachableFraction returns the estimated fraction of the other nodes that this node can
// exchange with now.
func (g *Gossiper) ReachableFraction() float64 {
	return g.reachability.fraction()
}
