package storesync

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// switchedStore is the store as a node sees it that may be turned away.
type switchedStore struct {
	platform.EraStore
}

// Guards against a configuration that all nodes learn late, because those that read it for the others
// are turned away by the store.
func TestOthersWatchWhileTheWatchersCannot(t *testing.T) {
	const nodes, turnedAway = 40, watcherCount + 4
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		unavailable := platformtest.New(1)
		unavailable.SetFaults(platformtest.Faults{Outage: true})
		var fleet []*node
		stores := make([]*switchedStore, nodes)
		for i := range nodes {
			stores[i] = &switchedStore{EraStore: store}
			fleet = append(fleet, newNode(strconv.Itoa(i), stores[i]))
		}
		for i, n := range fleet {
			n.config.Directory.Merge(fleetEntries(fleet))
			if n.watcherRank(n.config.Keys.ConfigPrefix) < turnedAway {
				stores[i].EraStore = unavailable
			}
			go n.Run(ctx)
		}
		// gossip stands in for what the nodes tell each other.
		gossip := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				now := time.Now()
				troubled := slices.ContainsFunc(fleet, func(n *node) bool { return n.config.StoreTrouble.Recent(now) })
				for _, n := range fleet {
					n.lastReceived.Store(now.UnixNano())
					if troubled {
						n.config.StoreTrouble.Note(now, now)
					}
				}
			}
		}
		gossip(10 * time.Second)
		revision := int64(0)
		for version := range 8 {
			revision = put(t, store, "config/main", strconv.Itoa(version+1), revision)
			gossip(200 * time.Millisecond)
			informed := 0
			for _, n := range fleet {
				if n.config.Document.Version() == uint64(version+1) {
					informed++
				}
			}
			assert.Assert(t, informed >= troubledWatchers-turnedAway, "version %d: %d nodes", version+1, informed)
		}
	})
}

// Guards against more calls to the store while all of them fail, and after the trouble.
func TestOnlyNodesThatReachTheStoreReadMore(t *testing.T) {
	runWithStore(t, func(_ context.Context, t *testing.T, store *platformtest.Store) {
		n := newNode("a", store)
		failure := platform.ErrCompacted
		assert.Equal(t, n.polls(), 1.0)
		n.noteCall(failure)
		n.noteCall(failure)
		assert.Equal(t, n.polls(), 1.0, "dropped history is no failure")
		_, unavailable := func() (platform.Object, error) {
			store.SetFaults(platformtest.Faults{Outage: true})
			return store.Get(t.Context(), "config/main")
		}()
		n.noteCall(unavailable)
		assert.Equal(t, n.watchers("config/"), float64(watcherCount), "one failure may be a watch that was cut off")
		n.noteCall(unavailable)
		assert.Equal(t, n.watchers("config/"), float64(troubledWatchers))
		assert.Equal(t, n.watchers("nodes/"), float64(watcherCount))
		assert.Equal(t, n.polls(), 1.0, "its own calls fail")
		n.noteCall(nil)
		assert.Equal(t, n.polls(), float64(troubledPolls))
		time.Sleep(11 * time.Second)
		assert.Equal(t, n.polls(), 1.0)
		assert.Equal(t, n.watchers("config/"), float64(watcherCount))
	})
}
