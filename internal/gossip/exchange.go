package gossip

import (
	"context"
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/internal/h1"
)

// exchange compares what both nodes know and evens it out. It reports whether the
// other node responded.
func (g *Gossiper) exchange(ctx context.Context, peer string) bool {
	reply, err := g.send(ctx, peer, message{Digest: g.config.Directory.Digest()})
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

// compare finds the entries in which the directories of both nodes differ, from the
// digests that the peer sent, and gives each side what it lacks.
func (g *Gossiper) compare(ctx context.Context, peer string, theirs []uint64) {
	differing, versions := g.config.Directory.Versions(theirs)
	if len(differing) == 0 {
		return
	}
	question := comparison{Buckets: len(theirs), Differing: differing, Versions: versions}
	reply, err := g.send(ctx, peer, message{Compare: &question})
	if err != nil {
		g.failures.Inc(1)
		return
	}
	g.take(reply, peer)
	if reply.More {
		g.behind.Store(true)
	}
	if entries := g.config.Directory.Entries(reply.Wanted); len(entries) > 0 {
		g.sendNews(ctx, peer, message{News: true, Entries: entries})
	}
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

// sendConfig sends the configuration to a peer that has an older one.
func (g *Gossiper) sendConfig(ctx context.Context, peer string, reply message) {
	if reply.ConfigVersion < g.config.Document.Version() {
		g.sendNews(ctx, peer, message{News: true, Config: g.config.Document.Raw()})
	}
}

func (g *Gossiper) sendNews(ctx context.Context, peer string, m message) {
	if _, err := g.send(ctx, peer, m); err != nil {
		g.failures.Inc(1)
	}
}

// send exchanges a message, with the version of this node's configuration, for a reply.
func (g *Gossiper) send(ctx context.Context, peer string, m message) (message, error) {
	m.ConfigVersion = g.config.Document.Version()
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

// Serve takes a message of another node.
func (g *Gossiper) Serve(_ context.Context, r *h1.Request) *h1.Response {
	m, err := decode(r.Header, r.Body)
	if err != nil {
		g.config.Log.Warn().Err(err).Str("from", r.RemoteIP).Msg("gossip message not readable")
		return &h1.Response{Status: http.StatusBadRequest, Header: http.Header{}}
	}
	g.heard()
	g.take(m, r.RemoteIP)
	reply := message{Digest: g.config.Directory.Digest()}
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

// take merges what another node sent.
func (g *Gossiper) take(m message, peer string) {
	if len(m.Entries) > 0 {
		g.config.Directory.Merge(m.Entries)
	}
	if len(m.Config) > 0 {
		g.config.Document.Apply(m.Config, "node "+peer)
	}
}
