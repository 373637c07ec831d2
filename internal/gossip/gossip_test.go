package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/routing"
)

// network connects gossipers without sockets. Partitioned addresses reach no node.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*Gossiper
	partitioned map[string]bool
}

func (n *network) add(address string, g *Gossiper) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = g
}

func (n *network) node(address string) (*Gossiper, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g, ok := n.nodes[address]
	return g, ok
}

func (n *network) setPartitioned(address string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
}

func (n *network) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[a] || n.partitioned[b]
}

// endpoint sends requests over the network from one address.
type endpoint struct {
	network *network
	address string
}

func (e endpoint) Exchange(ctx context.Context, address string, r *h1.Request, _ time.Time) (*h1.Response, error) {
	target, ok := e.network.node(address)
	if !ok || e.network.isPartitioned(address, e.address) {
		return nil, &h1.SendError{Cause: errors.New("unreachable")}
	}
	return target.Serve(ctx, r), nil
}

// decodeVersion decodes a configuration that consists of its version.
func decodeVersion(raw []byte) (*routing.Table, error) {
	version, err := strconv.ParseUint(string(raw), 10, 64)
	if err != nil || version == 0 {
		return nil, errors.Errorf("version %q: want a number above zero", raw)
	}
	return routing.New(version, routing.DefaultLimits(), nil), nil
}

// startFleet starts n nodes that know only the seed node-0.
func startFleet(ctx context.Context, n int) (*network, []*Gossiper) {
	net := &network{nodes: map[string]*Gossiper{}, partitioned: map[string]bool{}}
	var fleet []*Gossiper
	for i := range n {
		address := fmt.Sprint("node-", i, ":1")
		d := directory.New(directory.Entry{Node: address, Address: address}, time.Now)
		g := New(Config{
			Directory: d, Document: NewDocument(decodeVersion, zerolog.Nop()), StoreEra: NewStoreEra(zerolog.Nop()), StoreTrouble: NewStoreTrouble(), Sender: endpoint{net, address},
			Seeds: []string{"node-0:1"}, OnRemoved: func(string) {}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
		d.OnChange(g.Disseminate)
		d.OnLeaveMissing(func(known, newer directory.Entry) { g.ReportLeave(ctx, known, newer) })
		g.config.Document.OnChange(func(*routing.Table) { g.DisseminateConfig() })
		net.add(address, g)
		fleet = append(fleet, g)
	}
	for _, g := range fleet {
		go g.Run(ctx)
	}
	return net, fleet
}

// Guards against nodes that never learn of updates that only others received: without
// the store, a configuration and an entry reach all connected nodes, including those
// that start with one seed and those that were partitioned for a while.
func TestUpdatesReachAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		net, fleet := startFleet(ctx, 30)
		time.Sleep(10 * time.Second)
		for i, g := range fleet {
			assert.Equal(t, len(g.config.Directory.All()), 30, "node %d", i)
		}
		net.setPartitioned("node-7:1", true)
		assert.Assert(t, fleet[3].config.Document.Apply([]byte("5"), "test"))
		fleet[4].config.Directory.UpdateSelf(func(e *directory.Entry) {
			e.Upstream = &directory.Upstream{ID: "i", Service: "s", Slots: 1, State: directory.Draining}
		})
		time.Sleep(2 * time.Second)
		for i, g := range fleet {
			if i == 7 {
				assert.Equal(t, g.config.Document.Version(), uint64(0))
				continue
			}
			assert.Equal(t, g.config.Document.Version(), uint64(5), "node %d", i)
			e, _ := g.config.Directory.Get("node-4:1")
			assert.Assert(t, e.Upstream != nil, "node %d", i)
		}
		net.setPartitioned("node-7:1", false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, fleet[7].config.Document.Version(), uint64(5))
	})
}

// Guards against entries of dead nodes that are kept forever, against the removal of a
// node that was unreachable for a few seconds, as during a restart, and against a removed
// entry that is not restored when its node is reachable again.
func TestDeadNodesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		net, fleet := startFleet(ctx, 12)
		time.Sleep(10 * time.Second)
		net.setPartitioned("node-5:1", true)
		net.setPartitioned("node-6:1", true)
		time.Sleep(8 * time.Second)
		e, _ := fleet[0].config.Directory.Get("node-5:1")
		assert.Assert(t, !e.Removed)
		net.setPartitioned("node-6:1", false)
		time.Sleep(time.Minute)
		for i, g := range fleet {
			if i == 5 {
				continue
			}
			dead, _ := g.config.Directory.Get("node-5:1")
			assert.Assert(t, dead.Removed, "node %d", i)
			alive, _ := g.config.Directory.Get("node-6:1")
			assert.Assert(t, !alive.Removed, "node %d", i)
		}
		net.setPartitioned("node-5:1", false)
		time.Sleep(5 * time.Second)
		restored, _ := fleet[0].config.Directory.Get("node-5:1")
		assert.Assert(t, !restored.Removed)
	})
}

// meter is an endpoint that counts the bytes of request and response bodies by peer.
type meter struct {
	endpoint
	mu      sync.Mutex
	perPeer map[string]int
	// requests counts the requests to all peers.
	requests int
}

func (m *meter) requestCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.requests
}

func (m *meter) counts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.perPeer)
}

func (m *meter) Exchange(ctx context.Context, address string, r *h1.Request, deadline time.Time) (*h1.Response, error) {
	response, err := m.endpoint.Exchange(ctx, address, r, deadline)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	m.perPeer[address] += len(r.Body)
	if response != nil {
		m.perPeer[address] += len(response.Body)
	}
	return response, err
}

// Guards against a starting node that fetches the whole directory from one seed, and
// against one that then takes long to learn of all nodes.
func TestStartedNodeCatchesUpFromManyPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		net, fleet := startFleet(ctx, 300)
		time.Sleep(20 * time.Second)
		for i, g := range fleet {
			assert.Equal(t, len(g.config.Directory.All()), 300, "node %d", i)
		}
		d := directory.New(directory.Entry{Node: "late", Address: "late:1"}, time.Now)
		sender := &meter{endpoint: endpoint{net, "late"}, perPeer: map[string]int{}}
		late := New(Config{
			Directory: d, Document: NewDocument(decodeVersion, zerolog.Nop()), StoreEra: NewStoreEra(zerolog.Nop()), StoreTrouble: NewStoreTrouble(), Sender: sender,
			Seeds: []string{"node-0:1"}, OnRemoved: func(string) {}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
		go late.Run(ctx)
		time.Sleep(2 * time.Second)
		assert.Assert(t, len(d.All()) >= 301, "%d entries", len(d.All()))
		bytes := sender.counts()["node-0:1"]
		assert.Assert(t, bytes < 16<<10, "%d bytes with the seed", bytes)
	})
}

// Guards against exchanges that grow with the fleet: two directories of 1,000 nodes
// that differ in one entry are synchronized with a few kilobytes.
func TestExchangeCarriesOnlyDifferences(t *testing.T) {
	net := &network{nodes: map[string]*Gossiper{}, partitioned: map[string]bool{}}
	var pair []*Gossiper
	for i := range 2 {
		address := fmt.Sprint("node-", i, ":1")
		d := directory.New(directory.Entry{Node: address, Address: address}, time.Now)
		g := New(Config{
			Directory: d, Document: NewDocument(decodeVersion, zerolog.Nop()), StoreEra: NewStoreEra(zerolog.Nop()), StoreTrouble: NewStoreTrouble(), Sender: &meter{endpoint: endpoint{net, address}, perPeer: map[string]int{}},
			OnRemoved: func(string) {}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
		addNodes(d, 2, 1000)
		net.add(address, g)
		pair = append(pair, g)
	}
	assert.Assert(t, pair[0].exchange(t.Context(), "node-1:1"))
	sender := pair[0].config.Sender.(*meter)
	before := sender.counts()["node-1:1"]
	pair[1].config.Directory.Merge([]directory.Entry{{Node: "node-7:1", Version: 2, Address: "node-7:1", Leaving: true}})
	assert.Assert(t, pair[0].exchange(t.Context(), "node-1:1"))
	assert.Equal(t, pair[0].config.Directory.Digest(), pair[1].config.Directory.Digest())
	bytes := sender.counts()["node-1:1"] - before
	assert.Assert(t, bytes < 8<<10, "%d bytes for one entry", bytes)
}

// Guards against nodes that do not learn from their peers that the store has returned from an older copy.
func TestStoreEraReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		_, fleet := startFleet(ctx, 30)
		for _, g := range fleet {
			g.config.StoreEra.Observe(1)
		}
		time.Sleep(10 * time.Second)
		fleet[7].config.StoreEra.Observe(2)
		time.Sleep(4 * time.Second)
		for i, g := range fleet {
			assert.Equal(t, g.config.StoreEra.Current(), uint64(2), "node %d", i)
		}
	})
}

// Guards against a peer's era that hides the returns of the store from a node, since it is above all
// that the store will state.
func TestEraOfAPeerIsBounded(t *testing.T) {
	e := NewStoreEra(zerolog.Nop())
	e.ObservePeer(3)
	assert.Equal(t, e.Current(), uint64(0), "before the store has stated one")
	e.Observe(3)
	for _, c := range []struct{ stated, want uint64 }{{2, 3}, {math.MaxUint64, 3}, {3 + maxEraStep + 1, 3}, {3 + maxEraStep, 3 + maxEraStep}} {
		e.ObservePeer(c.stated)
		assert.Equal(t, e.Current(), c.want, "%d", c.stated)
	}
}

// Guards against a configuration that returns to an older version, and against an
// invalid one that replaces the one in force.
func TestDocumentVersionOnlyRises(t *testing.T) {
	d := NewDocument(decodeVersion, zerolog.Nop())
	assert.Assert(t, d.Table() == nil)
	assert.Assert(t, d.Apply([]byte("7"), "test"))
	assert.Assert(t, !d.Apply([]byte("6"), "test"))
	assert.Assert(t, !d.Apply([]byte("7"), "test"))
	assert.Assert(t, !d.Apply([]byte("nonsense"), "test"))
	assert.Equal(t, d.Version(), uint64(7))
	assert.Equal(t, string(d.Raw()), "7")
}

// Guards against a panic on a message that no node would send.
func FuzzServe(f *testing.F) {
	f.Add([]byte(`{"config_version":1,"digest":2,"entries":[{"node":"a","address":"b"}],"config":9}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		d := directory.New(directory.Entry{Node: "self", Address: "self:1"}, time.Now)
		g := New(Config{Directory: d, Document: NewDocument(decodeVersion, zerolog.Nop()), StoreEra: NewStoreEra(zerolog.Nop()), StoreTrouble: NewStoreTrouble(), Log: zerolog.Nop(), Scope: tally.NoopScope})
		response := g.Serve(context.Background(), &h1.Request{Body: body})
		if response.Status == 200 {
			var m message
			assert.NilError(t, json.Unmarshal(response.Body, &m))
		}
	})
}

// Guards against nodes in a partition that still count the nodes outside as reachable:
// then too few of them read from the store.
func TestReachableFractionFollowsPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		net, fleet := startFleet(ctx, 20)
		time.Sleep(10 * time.Second)
		assert.Assert(t, fleet[0].ReachableFraction() > 0.9)
		for i := 5; i < 20; i++ {
			net.setPartitioned(fmt.Sprint("node-", i, ":1"), true)
		}
		// A mean over several seconds, because a single reading of five moving averages varies by
		// more than the distance to the bound.
		time.Sleep(5 * time.Second)
		const readings = 20
		fraction := 0.0
		for range readings {
			time.Sleep(interval / 2)
			for _, g := range fleet[:5] {
				fraction += g.ReachableFraction() / (5 * readings)
			}
		}
		assert.Assert(t, fraction < 0.6, fraction)
	})
}

// Guards against a node that does not learn after its restart that its upstream has left, although
// its peers know: its own entry is newer than theirs, so exchanges do not bring it.
func TestRestartedNodeIsToldOfALeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		net, fleet := startFleet(ctx, 6)
		const node = "node-9:1"
		upstream := directory.Upstream{ID: "i", Incarnation: 7, Service: "s", Slots: 1, State: directory.Draining}
		before := directory.New(directory.Entry{Node: node, Address: node}, time.Now)
		before.UpdateSelf(func(e *directory.Entry) { e.Upstream = &upstream })
		fleet[0].config.Directory.Merge([]directory.Entry{before.Self()})
		time.Sleep(3 * time.Second)
		var told atomic.Pointer[directory.Entry]
		restarted := New(fleet[5].config)
		restarted.config.Directory = directory.New(directory.Entry{Node: node, Address: node}, time.Now)
		restarted.config.Sender = endpoint{net, node}
		restarted.peers.directory = restarted.config.Directory
		restarted.config.Directory.OnChange(restarted.Disseminate)
		restarted.config.Directory.OnEarlierEntry(func(e directory.Entry) {
			if e.Upstream != nil {
				told.Store(&e)
			}
		})
		net.add(node, restarted)
		go restarted.Run(ctx)
		time.Sleep(3 * time.Second)
		entry := told.Load()
		assert.Assert(t, entry != nil && *entry.Upstream == upstream, "%+v", entry)
	})
}

// Guards against nodes that do not learn soon that calls of another one to the store fail, or that the
// configuration is what the store holds, and against either that is believed for ever.
func TestNewsOfTheStoreReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		_, fleet := startFleet(ctx, 30)
		time.Sleep(10 * time.Second)
		fleet[3].config.Document.ApplyStored([]byte("5"), time.Now())
		fleet[7].config.StoreTrouble.Note(time.Now(), time.Now())
		time.Sleep(time.Second)
		for i, g := range fleet {
			assert.Assert(t, g.config.StoreTrouble.Recent(time.Now()), "node %d", i)
		}
		time.Sleep(3 * time.Second)
		for i, g := range fleet {
			age, known := g.config.Document.ConfirmedAge(time.Now())
			assert.Assert(t, known && age <= 4*time.Second+10*time.Millisecond, "node %d: %s", i, age)
		}
		time.Sleep(storeTroubleWindow)
		for i, g := range fleet {
			assert.Assert(t, !g.config.StoreTrouble.Recent(time.Now()), "node %d", i)
			age, _ := g.config.Document.ConfirmedAge(time.Now())
			assert.Assert(t, age >= 13*time.Second, "node %d: %s", i, age)
			g.config.StoreTrouble.observePeer(time.Now(), -1)
			g.config.StoreTrouble.observePeer(time.Now(), math.MaxInt64)
			assert.Assert(t, !g.config.StoreTrouble.Recent(time.Now()), "node %d", i)
		}
	})
}
