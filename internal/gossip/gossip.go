// Package gossip spreads the directory and the configuration from node to node,
// so that nodes that cannot reach the platform's store learn from those that can.
// A node evens out differences with one other node at a time, and tells news at once
// to a few.
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
)

const (
	// interval is the mean time between two exchanges of a node. With the fanout,
	// a change reaches a hundred nodes in about four exchanges.
	interval = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange; it is far above a round trip between
	// regions.
	exchangeTimeout = 600 * time.Millisecond
	// newsGap is the least time between two rounds of news. A single change is told
	// at once; when many nodes change at a time, their entries travel together.
	newsGap = 20 * time.Millisecond
	// maxRetold is the number of entries up to which news is passed on. A node that
	// learns more at a time was behind the others, which know them already or find
	// the difference in their next exchanges.
	maxRetold = 64
	// maxCompared is the number of entries given each way in one exchange. A node that
	// starts lacks them all and would fetch them from one of the few seeds; it gets the
	// rest from the nodes that it learns of, catchUpPause apart.
	maxCompared  = 48
	catchUpPause = 50 * time.Millisecond
	// maxMessageBytes bounds a message: the directory of a thousand nodes and a
	// configuration of the largest stored size.
	maxMessageBytes = 4 << 20
)

// Sender exchanges a request with the node at an address.
type Sender interface {
	Exchange(ctx context.Context, address string, r *h1.Request, deadline time.Time) (*h1.Response, error)
}

// Config holds what a Gossiper needs.
type Config struct {
	Directory *directory.Directory
	Document  *Document
	Sender    Sender
	// Seeds are addresses to ask while the directory knows no other node.
	Seeds []string
	// Removed is called after this node has removed the entry of a dead one.
	Removed func(node string)
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Gossiper runs the exchanges of one node.
type Gossiper struct {
	config    Config
	exchanges tally.Counter
	failures  tally.Counter
	news      chan struct{}
	// turn belongs to Run.
	turn      int
	neighbour neighbour
	reach     reach
	peers     peers
	// lastExchange is when this node last heard from another one.
	lastExchange atomic.Pointer[time.Time]
	// behind is set by an exchange that left differences, catchingUp while a
	// goroutine evens them out.
	behind, catchingUp atomic.Bool

	mu      sync.Mutex
	pending map[string]directory.Entry
}

// New returns a gossiper; Run starts it.
func New(config Config) *Gossiper {
	g := &Gossiper{
		config:    config,
		exchanges: config.Scope.Counter("gossip_exchanges"),
		failures:  config.Scope.Counter("gossip_failures"),
		news:      make(chan struct{}, 1),
		pending:   make(map[string]directory.Entry),
		peers:     peers{directory: config.Directory, seeds: config.Seeds},
	}
	return g
}

// Disseminate passes news on to a few nodes at once.
func (g *Gossiper) Disseminate(entries []directory.Entry) {
	if len(entries) > maxRetold {
		return
	}
	g.mu.Lock()
	for _, e := range entries {
		g.pending[e.Node] = e
	}
	g.mu.Unlock()
	g.DisseminateConfig()
}

// DisseminateConfig passes the configuration on to a few nodes at once.
func (g *Gossiper) DisseminateConfig() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// Run exchanges until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	timer := time.NewTimer(g.pause())
	defer timer.Stop()
	// news is nil during the gap after each round of news.
	news := g.news
	pause := time.NewTimer(newsGap)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-news:
			g.spreadNews(ctx)
			pause.Reset(newsGap)
			news = nil
		case <-pause.C:
			news = g.news
		case <-timer.C:
			g.turn++
			go g.tick(ctx, g.turn)
			timer.Reset(g.pause())
		}
	}
}

// tick exchanges with the neighbour and with another node by turns.
func (g *Gossiper) tick(ctx context.Context, turn int) {
	if next, ok := g.config.Directory.Successor(); ok && turn%2 == 0 {
		failed := !g.exchange(ctx, next.Address)
		if ctx.Err() == nil && g.neighbour.observe(time.Now(), next.Node, next.Version, failed) {
			g.config.Log.Warn().Str("entry", next.Node).Uint64("version", next.Version).Msg("node does not respond, entry removed")
			if g.config.Directory.Remove(next.Node, next.Version) {
				g.config.Removed(next.Node)
			}
		}
		return
	}
	if peer, ok := g.peers.forExchange(time.Now()); ok {
		g.exchange(ctx, peer)
	}
	g.catchUp(ctx)
}

// pause varies so that nodes started together do not stay in step.
func (g *Gossiper) pause() time.Duration {
	return interval/2 + rand.N(interval)
}

func (g *Gossiper) spreadNews(ctx context.Context) {
	g.mu.Lock()
	m := message{News: true}
	for _, e := range g.pending {
		m.Entries = append(m.Entries, e)
	}
	clear(g.pending)
	g.mu.Unlock()
	for _, peer := range g.peers.forNews(time.Now(), g.reach.fanout()) {
		go func() {
			reply, err := g.send(ctx, peer, m)
			if err == nil {
				g.sendConfig(ctx, peer, reply)
			}
		}()
	}
}

func (g *Gossiper) heard() {
	now := time.Now()
	g.lastExchange.Store(&now)
}

// LastExchange returns when this node last heard from another one, and the zero
// time before that.
func (g *Gossiper) LastExchange() time.Time {
	if at := g.lastExchange.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ReachableFraction returns the part of the other nodes that this one can exchange with now.
func (g *Gossiper) ReachableFraction() float64 {
	return g.reach.part()
}
