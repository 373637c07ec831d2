// Package gossip spreads the directory and the configuration from node to node,
// so that nodes that cannot reach the platform's store learn from those that can.
// A node compares digests with one random other node at a time, and tells news
// at once to a few.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/http"
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

// Tell passes news on to a few nodes at once.
func (g *Gossiper) Tell(entries []directory.Entry) {
	if len(entries) > maxRetold {
		return
	}
	g.mu.Lock()
	for _, e := range entries {
		g.pending[e.Node] = e
	}
	g.mu.Unlock()
	g.TellConfig()
}

// TellConfig passes the configuration on to a few nodes at once.
func (g *Gossiper) TellConfig() {
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

// tick exchanges with the neighbour and with a random node by turns.
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

// catchUp exchanges on while the last exchange did not even out the directories.
func (g *Gossiper) catchUp(ctx context.Context) {
	if !g.catchingUp.CompareAndSwap(false, true) {
		return
	}
	defer g.catchingUp.Store(false)
	for g.behind.Swap(false) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(catchUpPause):
		}
		if peer, ok := g.peers.forExchange(time.Now()); ok {
			g.exchange(ctx, peer)
		}
	}
}

// pause varies so that nodes started together do not stay in step.
func (g *Gossiper) pause() time.Duration {
	return interval/2 + rand.N(interval)
}

func (g *Gossiper) spreadNews(ctx context.Context) {
	g.mu.Lock()
	m := message{ConfigVersion: g.config.Document.Version(), News: true}
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

// exchange compares what both nodes know and evens it out. It reports whether the
// other node responded.
func (g *Gossiper) exchange(ctx context.Context, peer string) bool {
	reply, err := g.send(ctx, peer, message{ConfigVersion: g.config.Document.Version(), Digest: g.config.Directory.Digest()})
	if ctx.Err() == nil {
		g.reach.observe(err == nil)
	}
	if err != nil {
		g.failures.Inc(1)
		return false
	}
	g.exchanges.Inc(1)
	g.heard()
	g.take(reply, peer)
	g.sendConfig(ctx, peer, reply)
	g.compare(ctx, peer, reply.Buckets)
	return true
}

// sendConfig sends the configuration to a peer that has an older one.
func (g *Gossiper) sendConfig(ctx context.Context, peer string, reply message) {
	own := g.config.Document.Version()
	if reply.ConfigVersion >= own {
		return
	}
	g.sendNews(ctx, peer, message{ConfigVersion: own, News: true, Config: g.config.Document.Raw()})
}

// compare finds the entries in which the directories of both nodes differ, from the
// digests that the peer sent, and gives each side what it lacks.
func (g *Gossiper) compare(ctx context.Context, peer string, theirs []uint64) {
	differing, versions := g.config.Directory.Versions(theirs)
	if len(differing) == 0 {
		return
	}
	question := comparison{Buckets: len(theirs), Differing: differing, Versions: versions}
	reply, err := g.send(ctx, peer, message{ConfigVersion: g.config.Document.Version(), Compare: &question})
	if err != nil {
		g.failures.Inc(1)
		return
	}
	g.take(reply, peer)
	if reply.More {
		g.behind.Store(true)
	}
	if entries := g.config.Directory.Entries(reply.Wanted); len(entries) > 0 {
		g.sendNews(ctx, peer, message{ConfigVersion: g.config.Document.Version(), News: true, Entries: entries})
	}
}

func (g *Gossiper) sendNews(ctx context.Context, peer string, m message) {
	if _, err := g.send(ctx, peer, m); err != nil {
		g.failures.Inc(1)
	}
}

func (g *Gossiper) send(ctx context.Context, peer string, m message) (message, error) {
	body, header, err := encode(m)
	if err != nil {
		return message{}, err
	}
	r := &h1.Request{Method: http.MethodPost, Target: Path, Host: peer, Header: header, Body: body}
	response, err := g.config.Sender.Exchange(ctx, peer, r, time.Now().Add(exchangeTimeout))
	if err != nil {
		return message{}, err
	}
	return decode(response.Header, response.Body)
}

// take merges what another node sent.
func (g *Gossiper) take(m message, peer string) {
	if len(m.Entries) > 0 {
		g.config.Directory.Merge(m.Entries)
	}
	if len(m.Config) > 0 {
		g.config.Document.Offer(m.Config, "node "+peer)
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

// Reach returns the part of the other nodes that this one can exchange with now.
func (g *Gossiper) Reach() float64 {
	return g.reach.part()
}

// Serve takes a message of another node.
func (g *Gossiper) Serve(_ context.Context, r *h1.Request) *h1.Response {
	m, err := decode(r.Header, r.Body)
	if err != nil {
		g.config.Log.Warn().Err(err).Str("from", r.RemoteIP).Msg("gossip message not readable")
		return &h1.Response{Status: http.StatusBadRequest, Header: http.Header{}}
	}
	g.heard()
	g.take(m, r.RemoteIP)
	reply := message{ConfigVersion: g.config.Document.Version(), Digest: g.config.Directory.Digest()}
	switch {
	case m.Compare != nil:
		reply.Entries, reply.Wanted = g.config.Directory.Compare(m.Compare.Buckets, m.Compare.Differing, m.Compare.Versions)
		reply.More = len(reply.Entries) > maxCompared || len(reply.Wanted) > maxCompared
		reply.Entries = reply.Entries[:min(len(reply.Entries), maxCompared)]
		reply.Wanted = reply.Wanted[:min(len(reply.Wanted), maxCompared)]
	case !m.News && m.Digest != reply.Digest:
		reply.Buckets = g.config.Directory.BucketDigests()
	}
	if !m.News && m.ConfigVersion < reply.ConfigVersion {
		reply.Config = g.config.Document.Raw()
	}
	body, header, err := encode(reply)
	if err != nil {
		g.config.Log.Error().Err(err).Msg("gossip reply not encoded")
		return &h1.Response{Status: http.StatusInternalServerError, Header: http.Header{}}
	}
	return &h1.Response{Status: http.StatusOK, Header: header, Body: body}
}
