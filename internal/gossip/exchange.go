package gossip

import (
	"context"
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/internal/h1"
)

// exchange synchronizes the directory and the configuration with a peer. It reports
// whether its first request got a usable response.
func (g *Gossiper) exchange(ctx context.Context, peer string) bool {
	response, err := g.send(ctx, peer, message{Digest: g.config.Directory.Digest()})
	if ctx.Err() == nil {
		g.reachability.observe(err == nil)
	}
	if err != nil {
		g.failures.Inc(1)
		return false
	}
	g.exchanges.Inc(1)
	g.recordReceived()
	g.merge(response, peer)
	g.sendConfig(ctx, peer, response)
	g.compare(ctx, peer, response.Buckets)
	return true
}

// compare finds the entries in which this node's directory and the peer's differ, from the
// bucket digests that the peer sent, and transfers the newer entries in each direction.
func (g *Gossiper) compare(ctx context.Context, peer string, peerDigests []uint64) {
	differing, versions := g.config.Directory.Versions(peerDigests)
	if len(differing) == 0 {
		return
	}
	request := comparison{Buckets: len(peerDigests), Differing: differing, Versions: versions}
	response, err := g.send(ctx, peer, message{Compare: &request})
	if err != nil {
		g.failures.Inc(1)
		return
	}
	g.merge(response, peer)
	if response.More {
		g.behind.Store(true)
	}
	if entries := g.config.Directory.Entries(response.Wanted); len(entries) > 0 {
		g.sendUpdate(ctx, peer, message{UpdateOnly: true, Entries: entries})
	}
}

// catchUp makes further exchanges as long as exchanges leave differences between the
// directories. It does nothing while another call of it runs.
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

// sendConfig sends the configuration to a peer whose response reports an older version.
func (g *Gossiper) sendConfig(ctx context.Context, peer string, response message) {
	if response.ConfigVersion < g.config.Document.Version() {
		g.sendUpdate(ctx, peer, message{UpdateOnly: true, Config: g.config.Document.Raw()})
	}
}

// sendUpdate sends an update to a peer and counts a failure. It does not retry: later
// exchanges find the difference.
func (g *Gossiper) sendUpdate(ctx context.Context, peer string, m message) {
	if _, err := g.send(ctx, peer, m); err != nil {
		g.failures.Inc(1)
	}
}

// send sends a message with the version of this node's configuration and returns the
// response.
func (g *Gossiper) send(ctx context.Context, peer string, m message) (message, error) {
	g.describe(&m)
	body, header, err := encode(m)
	if err != nil {
		return message{}, err
	}
	r := &h1.Request{Method: http.MethodPost, Target: Path, Host: peer, Header: header, Body: body}
	response, err := g.config.Sender.Exchange(ctx, peer, r, time.Now().Add(requestTimeout))
	if err != nil {
		return message{}, err
	}
	return decode(response.Header, response.Body)
}

// describe sets what every message states of this node's configuration and of the store.
func (g *Gossiper) describe(m *message) {
	now := time.Now()
	m.ConfigVersion, m.ConfigAge = g.config.Document.confirmation(now)
	m.StoreEra, m.StoreTrouble = g.config.StoreEra.Current(), g.config.StoreTrouble.ageMs(now)
}

// Serve merges a gossip request from a peer and returns what the request asks for.
func (g *Gossiper) Serve(_ context.Context, r *h1.Request) *h1.Response {
	m, err := decode(r.Header, r.Body)
	if err != nil {
		g.config.Log.Warn().Err(err).Str("from", r.RemoteIP).Msg("cannot decode gossip message")
		return &h1.Response{Status: http.StatusBadRequest, Header: http.Header{}}
	}
	g.recordReceived()
	g.merge(m, r.RemoteIP)
	response := message{Digest: g.config.Directory.Digest()}
	g.describe(&response)
	switch {
	case m.Compare != nil:
		response.Entries, response.Wanted = g.config.Directory.Compare(m.Compare.Buckets, m.Compare.Differing, m.Compare.Versions)
		response.More = len(response.Entries) > maxTransferred || len(response.Wanted) > maxTransferred
		response.Entries = response.Entries[:min(len(response.Entries), maxTransferred)]
		response.Wanted = response.Wanted[:min(len(response.Wanted), maxTransferred)]
	case !m.UpdateOnly && m.Digest != response.Digest:
		response.Buckets = g.config.Directory.BucketDigests()
	}
	if !m.UpdateOnly && m.ConfigVersion < response.ConfigVersion {
		response.Config = g.config.Document.Raw()
	}
	body, header, err := encode(response)
	if err != nil {
		g.config.Log.Error().Err(err).Msg("cannot encode gossip response")
		return &h1.Response{Status: http.StatusInternalServerError, Header: http.Header{}}
	}
	return &h1.Response{Status: http.StatusOK, Header: header, Body: body}
}

// merge applies the entries and the configuration that a peer sent, and the store's era that
// it knows.
func (g *Gossiper) merge(m message, peer string) {
	now := time.Now()
	g.config.StoreEra.ObservePeer(m.StoreEra)
	g.config.StoreTrouble.observePeer(now, m.StoreTrouble)
	if m.Spoiled && g.config.OnSpoiled != nil {
		g.config.OnSpoiled()
	}
	if len(m.Entries) > 0 {
		g.config.Directory.Merge(m.Entries)
	}
	if len(m.Config) > 0 {
		g.config.Document.Apply(m.Config, "node "+peer)
	}
	if m.ConfigAge > 0 && m.ConfigAge < maxConfigAge.Milliseconds() {
		g.config.Document.Confirm(m.ConfigVersion, now.Add(-time.Duration(m.ConfigAge)*time.Millisecond))
	}
}
