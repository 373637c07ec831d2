package storesync

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/gossip"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/routing"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// node is a syncer under test with its dependencies.
type node struct {
	*Syncer
	// changes counts the calls of SettingsChanged.
	changes atomic.Int64
	// lastReceived is when the node last received a message from a peer, in nanoseconds
	// since the Unix epoch.
	lastReceived atomic.Int64
}

func testKeys() Keys {
	return Keys{ConfigPrefix: "config/", Config: "config/main", NodesPrefix: "nodes/", SettingsPrefix: "settings/"}
}

// decodeVersion decodes a configuration that consists of its version.
func decodeVersion(raw []byte) (*routing.Table, error) {
	version, err := strconv.ParseUint(string(raw), 10, 64)
	if err != nil || version == 0 {
		return nil, errors.Errorf("version %q: want a number above zero", raw)
	}
	return routing.New(version, routing.DefaultLimits(), nil), nil
}

func startNode(ctx context.Context, name string, store platform.EraStore) *node {
	n := newNode(name, store)
	go n.Run(ctx)
	return n
}

// newNode returns a node that makes no calls to the store yet.
func newNode(name string, store platform.EraStore) *node {
	n := &node{}
	d := directory.New(directory.Entry{Node: name, Address: name + ":1"}, time.Now)
	n.Syncer = New(Config{
		Store: store, Keys: testKeys(), Directory: d, Document: gossip.NewDocument(decodeVersion, zerolog.Nop()), StoreEra: gossip.NewStoreEra(zerolog.Nop()), StoreTrouble: gossip.NewStoreTrouble(),
		LastReceived: func() time.Time { return time.Unix(0, n.lastReceived.Load()) }, ReachableFraction: func() float64 { return 1 }, Refusals: directory.NewRefusals(zerolog.Nop(), tally.NoopScope), Settings: settings.NewHolder(), SettingsChanged: func() { n.changes.Add(1) },
		Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	d.OnChange(func(changed []directory.Entry) {
		n.EntriesChanged(changed)
		for _, e := range changed {
			if e.Node == name {
				n.Publish()
			}
		}
	})
	return n
}

func (n *node) announce(state directory.UpstreamState) {
	n.config.Directory.UpdateSelf(func(e *directory.Entry) {
		e.Upstream = &directory.Upstream{ID: "i-" + e.Node, Service: "s", Slots: 1, State: state}
	})
}

// stateOf returns the state of a node's upstream in the directory of n, empty if it is
// not known.
func (n *node) stateOf(name string) directory.UpstreamState {
	e, ok := n.config.Directory.Get(name)
	if !ok || e.Upstream == nil {
		return ""
	}
	return e.Upstream.State
}

// runWithStore runs f with a store inside a synctest bubble and stops the syncers
// afterwards.
func runWithStore(t *testing.T, f func(ctx context.Context, t *testing.T, store *platformtest.Store)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		f(ctx, t, platformtest.New(1))
	})
}

// put writes an object whose revision in the store is after, zero for a new one, and
// returns its new revision.
func put(t *testing.T, store *platformtest.Store, key, value string, after int64) int64 {
	t.Helper()
	o, err := store.Update(context.Background(), key, after, []byte(value))
	assert.NilError(t, err)
	return o.Version
}

// Guards against a node that misses what others wrote, or that does not write its entry
// again after a change.
func TestEntriesAndConfigurationAreFollowed(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a, b := startNode(ctx, "a", store), startNode(ctx, "b", store)
		a.announce(directory.Ready)
		time.Sleep(time.Second)
		assert.Equal(t, b.stateOf("a"), directory.Ready)
		assert.Assert(t, b.Listed())
		a.announce(directory.Draining)
		time.Sleep(time.Second)
		assert.Equal(t, b.stateOf("a"), directory.Draining)
		version := put(t, store, "config/main", "4", 0)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, b.config.Document.Version(), uint64(4))
		put(t, store, "config/main", "9", version)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, a.config.Document.Version(), uint64(9))
	})
}

// Guards against an entry that is still missing after the store is available again: it
// must be restored within about two seconds.
func TestEntryIsRestoredAfterOutage(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a, b := startNode(ctx, "a", store), startNode(ctx, "b", store)
		time.Sleep(time.Second)
		store.SetFaults(platformtest.Faults{Outage: true})
		a.announce(directory.Ready)
		time.Sleep(20 * time.Second)
		assert.Equal(t, b.stateOf("a"), directory.UpstreamState(""))
		store.SetFaults(platformtest.Faults{})
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.stateOf("a"), directory.Ready)
	})
}

// Guards against an entry that stays deleted after another node took a node that is alive
// for dead.
func TestRemovedEntryIsWrittenAgain(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a := startNode(ctx, "a", store)
		a.announce(directory.Ready)
		time.Sleep(time.Second)
		o, err := store.Get(ctx, "nodes/a")
		assert.NilError(t, err)
		assert.NilError(t, store.Delete(ctx, "nodes/a", o.Version))
		time.Sleep(2 * time.Second)
		_, err = store.Get(ctx, "nodes/a")
		assert.NilError(t, err)
	})
}

// Guards against lost responses and late writes that leave an older entry in the store,
// and against a restarted node whose entry loses to that of the process before it.
func TestLostResponsesKeepNewestEntry(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		first, stop := context.WithCancel(ctx)
		old := startNode(first, "a", store)
		old.announce(directory.Ready)
		time.Sleep(time.Second)
		stop()
		store.SetFaults(platformtest.Faults{LostResponseFraction: 0.4, LateWriteFraction: 0.4, LateWriteMs: 3000})
		a := startNode(ctx, "a", store)
		for range 20 {
			a.announce(directory.Ready)
			time.Sleep(300 * time.Millisecond)
			a.announce(directory.Draining)
			time.Sleep(300 * time.Millisecond)
		}
		store.SetFaults(platformtest.Faults{})
		time.Sleep(5 * time.Second)
		o, err := store.Get(ctx, "nodes/a")
		assert.NilError(t, err)
		var e directory.Entry
		assert.NilError(t, json.Unmarshal(o.Value, &e))
		assert.Equal(t, e.Version, a.config.Directory.Self().Version)
		assert.Equal(t, e.Upstream.State, directory.Draining)
	})
}

// unresponsiveWatchStore is a store whose watches never receive an event.
type unresponsiveWatchStore struct {
	platform.EraStore
}

func (s unresponsiveWatchStore) Watch(ctx context.Context, _ string, after int64) (platform.Events, error) {
	<-ctx.Done()
	return platform.Events{Version: after}, ctx.Err()
}

// Guards against a configuration that is not in force in time because the watch receives
// nothing while the store compacts its history.
func TestConfigurationIsPolledBesideWatch(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a := startNode(ctx, "a", unresponsiveWatchStore{store})
		time.Sleep(time.Second)
		put(t, store, "config/main", "4", 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, a.config.Document.Version(), uint64(4))
	})
}

// Guards against an operator's override that does not come into force, and against an
// invalid scope that blocks the others.
func TestSettingsTreeIsFollowed(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a := startNode(ctx, "a", store)
		time.Sleep(time.Second)
		put(t, store, "settings/default", "nonsense", 0)
		put(t, store, "settings/service/s", `{"overrides":{"queue_per_slot":{"value":3,"set_by":"t","reason":"r","set_at":"2026-03-02T09:30:00Z"}}}`, 0)
		time.Sleep(2 * time.Second)
		assert.Assert(t, a.changes.Load() > 0)
		assert.Equal(t, a.config.Settings.Tree().Resolve(settings.Path{Service: "s"}).QueuePerSlot, 3.0)
		assert.Assert(t, len(a.config.Settings.Refusals()) > 0)
	})
}

// Guards against a fleet that calls an unavailable store in a tight loop.
func TestCallsBackOffDuringOutage(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		store.SetFaults(platformtest.Faults{Outage: true})
		a := startNode(ctx, "a", store)
		a.announce(directory.Ready)
		time.Sleep(time.Minute)
		counts := store.Counts()
		// Four loops wait for 0.6 to 1.2 seconds between two calls, half of maxBackoff to all
		// of it, after a few shorter delays at first. The node also polls the configuration
		// every 0.4 seconds on average.
		assert.Assert(t, counts.Reads()+counts.Writes() < 440, "%+v", counts)
	})
}

// Guards against calls to the store that grow with the fleet, and against a node that
// receives no changes because it can reach the store but no other node.
func TestFewNodesWatchForAll(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		var fleet []*node
		for i := range 40 {
			n := startNode(ctx, strconv.Itoa(i), store)
			n.announce(directory.Ready)
			fleet = append(fleet, n)
		}
		// Stands in for gossip, by which the nodes would learn of each other.
		for _, n := range fleet {
			n.config.Directory.Merge(fleetEntries(fleet))
		}
		isolated := fleet[17]
		started := time.Now()
		// Avoids the moment at which all watches of the settings tree end, since the new
		// ones would be counted below.
		for range 650 {
			for _, n := range fleet {
				if n != isolated {
					n.lastReceived.Store(time.Now().UnixNano())
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		before := store.Counts()
		// The connected nodes together poll as often as the isolated one alone.
		expectedPolls := 2 * float64(time.Since(started)) / float64(pollInterval)
		assert.Assert(t, float64(before.Gets) < 1.5*expectedPolls, "%d polls, want about %.0f", before.Gets, expectedPolls)
		put(t, store, "config/main", "4", 0)
		time.Sleep(100 * time.Millisecond)
		after := store.Counts()
		polls := int(after.Gets - before.Gets)
		informed := 0
		for _, n := range fleet {
			if n.config.Document.Version() == 4 {
				informed++
			}
		}
		assert.Assert(t, informed >= watcherCount && informed <= watcherCount+1+polls, "%d nodes read it from the store, %d polls", informed, polls)
		assert.Equal(t, isolated.config.Document.Version(), uint64(4))
		assert.Assert(t, after.Watches-before.Watches <= watcherCount+1)
	})
}

func fleetEntries(fleet []*node) []directory.Entry {
	var entries []directory.Entry
	for _, n := range fleet {
		entries = append(entries, n.config.Directory.Self())
	}
	return entries
}
