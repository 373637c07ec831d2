package storesync

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// startFleet starts nodes that receive messages from each other, and know each other after
// delay.
func startFleet(ctx context.Context, store *platformtest.Store, count int, delay time.Duration) []*node {
	var fleet []*node
	for i := range count {
		n := startNode(ctx, strconv.Itoa(i), store)
		n.announce(directory.Ready)
		fleet = append(fleet, n)
	}
	time.Sleep(delay)
	for _, n := range fleet {
		n.config.Directory.Merge(fleetEntries(fleet))
		go n.receiveAlways(ctx)
	}
	return fleet
}

// Guards against calls to the store by every node that starts: besides the settings tree, of
// which stale reads suffice, a prefix is watched by few nodes from the start.
func TestStartedNodesLeaveWatchingToFew(t *testing.T) {
	const count = 40
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		startFleet(ctx, store, count, 0)
		time.Sleep(4 * time.Second)
		calls := store.Counts()
		assert.Equal(t, calls.Lists, int64(3*count))
		assert.Assert(t, calls.Waiting <= count+2*watcherCount, "%d watches wait", calls.Waiting)
		// The write of an entry ends the watches of the few.
		assert.Assert(t, calls.Watches <= count+2*watcherCount+watcherCount*count/4, "%d watches", calls.Watches)
	})
}

// Guards against a configuration that comes into force late because the nodes have just started
// and do not watch it yet, also at a node that receives nothing from others.
func TestConfigurationIsInForceSoonAfterTheStart(t *testing.T) {
	for _, receiving := range []bool{true, false} {
		runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
			n := startNode(ctx, "a", store)
			if receiving {
				go n.receiveAlways(ctx)
			}
			time.Sleep(300 * time.Millisecond)
			put(t, store, "config/main", "4", 0)
			time.Sleep(2 * time.Second)
			assert.Equal(t, n.config.Document.Version(), uint64(4))
		})
	}
}
