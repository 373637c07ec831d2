package storesync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// write writes an object whatever its revision is.
func write(t *testing.T, store *platformtest.Store, key, value string) {
	t.Helper()
	o, err := store.Get(context.Background(), key)
	assert.Assert(t, err == nil || resultcode.From(err).Code == resultcode.ScopeNotFound, "%v", err)
	put(t, store, key, value, o.Version)
}

// setQueue writes an override of queue_per_slot for service s.
func setQueue(t *testing.T, store *platformtest.Store, perSlot int) {
	t.Helper()
	write(t, store, "settings/service/s", fmt.Sprintf(`{"overrides":{"queue_per_slot":{"value":%d,"set_by":"t","reason":"r","set_at":"2026-03-02T09:30:00Z"}}}`, perSlot))
}

func (n *node) queue() float64 {
	return n.config.Settings.Tree().Resolve(settings.Path{Service: "s"}).QueuePerSlot
}

// returnFrom makes the store unavailable for a time, after which it is back with a copy.
func returnFrom(store *platformtest.Store, c platformtest.Copy, outage time.Duration) {
	store.SetFaults(platformtest.Faults{Outage: true})
	time.Sleep(outage)
	store.Restore(c)
	store.SetFaults(platformtest.Faults{})
}

// Guards against settings that are refused as old, or missed by a watch, because the store gives out revisions again.
func TestSettingsFollowStoreThatReturned(t *testing.T) {
	for _, edits := range []int{1, 20} {
		runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
			a := startNode(ctx, "a", store)
			setQueue(t, store, 3)
			time.Sleep(time.Second)
			for i := range 2 {
				c := store.Copy()
				for range 10 {
					setQueue(t, store, 4)
				}
				time.Sleep(time.Second)
				assert.Equal(t, a.queue(), 4.0)
				returnFrom(store, c, time.Second)
				setQueue(t, store, 5+i)
				for range edits {
					write(t, store, "other/x", "{}")
				}
				time.Sleep(2500 * time.Millisecond)
				assert.Equal(t, a.queue(), float64(5+i))
			}
		})
	}
}

// Guards against an entry that stays missing or old in the store after the store has lost its last write.
func TestEntryIsWrittenAgainAfterReturn(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a := startNode(ctx, "a", store)
		time.Sleep(time.Second)
		var copies []platformtest.Copy
		for _, state := range []directory.UpstreamState{directory.Ready, directory.Draining} {
			copies = append(copies, store.Copy())
			a.announce(state)
			time.Sleep(time.Second)
		}
		for _, c := range copies {
			returnFrom(store, c, time.Second)
			time.Sleep(3 * time.Second)
			assert.Equal(t, stored(t, store, "a").Version, a.config.Directory.Self().Version)
		}
	})
}

// Guards against a node that learns of the return from a peer only, and waits for its watch.
func TestSettingsAreListedAgainWhenPeerKnowsOfReturn(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a := startNode(ctx, "a", unresponsiveWatchStore{store})
		time.Sleep(time.Second)
		setQueue(t, store, 4)
		a.config.StoreEra.Observe(store.Era() + 1)
		time.Sleep(time.Second)
		assert.Equal(t, a.queue(), 4.0)
	})
}

// Guards against a configuration that a large fleet learns late because its watchers wait after a return of the store.
func TestWatchersOfLargeFleetListAtOnceAfterReturn(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		n := newNode("a", store)
		peers := make([]directory.Entry, 16000)
		for i := range peers {
			peers[i] = directory.Entry{Node: fmt.Sprint(i), Version: 1, Address: fmt.Sprint(i, ":1")}
		}
		n.config.Directory.Merge(peers)
		var latest atomic.Int64
		go n.follow(ctx, "config/", 0, true, func(c change) { latest.Store(c.version) })
		for range 10 {
			c := store.Copy()
			write(t, store, "config/main", "1")
			time.Sleep(time.Second)
			returnFrom(store, c, 100*time.Millisecond)
			write(t, store, "config/main", "2")
			o, err := store.Get(ctx, "config/main")
			assert.NilError(t, err)
			time.Sleep(2 * time.Second)
			assert.Equal(t, latest.Load(), o.Version)
		}
	})
}

// Guards against nodes that differ from the store for good after it has returned from older copies.
func TestNodesConvergeAfterRandomReturns(t *testing.T) {
	for seed := range uint64(40) {
		runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
			random := rand.New(rand.NewPCG(seed, 17))
			a, b := startNode(ctx, "a", store), startNode(ctx, "b", store)
			version, copies := 1, []platformtest.Copy{store.Copy()}
			write(t, store, "config/main", "1")
			for range 60 {
				switch random.IntN(6) {
				case 0:
					setQueue(t, store, 1+random.IntN(9))
				case 1:
					version++
					write(t, store, "config/main", fmt.Sprint(version))
				case 2:
					a.announce([]directory.UpstreamState{directory.Ready, directory.Draining}[random.IntN(2)])
				case 3:
					copies = append(copies, store.Copy())
				case 4:
					store.Compact()
				default:
					returnFrom(store, copies[random.IntN(len(copies))], time.Duration(random.IntN(2000))*time.Millisecond)
					copies = []platformtest.Copy{store.Copy()}
					write(t, store, "config/main", fmt.Sprint(version))
				}
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
			a.announce(directory.Ready)
			setQueue(t, store, 7)
			time.Sleep(5 * time.Second)
			for _, n := range []*node{a, b} {
				assert.Equal(t, n.queue(), 7.0, "seed %d", seed)
				assert.Equal(t, n.config.Document.Version(), uint64(version), "seed %d", seed)
			}
			assert.Equal(t, stored(t, store, "a").Version, a.config.Directory.Self().Version, "seed %d", seed)
			assert.Equal(t, b.stateOf("a"), directory.Ready, "seed %d", seed)
		})
	}
}
