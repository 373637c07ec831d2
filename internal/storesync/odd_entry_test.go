package storesync

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// oddValues are values that another writer may leave in the place of an entry of node, each with
// a version that the node has not used.
func oddValues(node string) map[string]string {
	entry := func(version, address, slots string) string {
		return fmt.Sprintf(`{"node":%q,"version":%s,"address":%q,"upstream":{"id":"odd","service":"s","slots":%s,"state":"ready"}}`, node, version, address, slots)
	}
	return map[string]string{
		"nested":               `{"node":"` + node + `","x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"large number":         entry("1e400", node+":1", "1"),
		"largest version":      entry("18446744073709551615", node+":1", "1"),
		"port out of range":    entry("9000000000000", node+":65536", "1"),
		"slots out of range":   entry("9000000000000", node+":1", "4000000000000000000"),
		"another node":         strings.Replace(entry("9000000000000", "c:1", "1"), node, "c", 1),
		"not JSON":             `{"node":`,
		"of another type":      `[1, 2]`,
		"valid, newer":         entry("1000000000000", node+":1", "7"),
		"valid, older version": entry("1", node+":1", "7"),
	}
}

// entryOf returns a node's entry in the store, or the zero entry if it cannot be decoded.
func entryOf(store *platformtest.Store, node string) (e directory.Entry, revision int64) {
	o, err := store.Get(context.Background(), "nodes/"+node)
	if err != nil || json.Unmarshal(o.Value, &e) != nil {
		return directory.Entry{}, o.Version
	}
	return e, o.Version
}

// Guards against a node that no longer follows the others because of one odd entry, and against
// an odd entry that names an upstream to use.
func TestOddEntryLeavesTheOthersInForce(t *testing.T) {
	for name, value := range oddValues("odd") {
		if strings.HasPrefix(name, "valid") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
				put(t, store, "nodes/odd", value, 0)
				a, b := startNode(ctx, "a", store), startNode(ctx, "b", store)
				a.announce(directory.Ready)
				time.Sleep(time.Second)
				assert.Equal(t, b.stateOf("a"), directory.Ready)
				_, revision := entryOf(store, "odd")
				put(t, store, "nodes/odd", value+" ", revision)
				a.announce(directory.Draining)
				time.Sleep(time.Second)
				assert.Equal(t, b.stateOf("a"), directory.Draining)
				for _, e := range b.config.Directory.All() {
					assert.Assert(t, e.Node == "a" || e.Node == "b", "%s is kept", e.Node)
				}
			})
		})
	}
}

// Guards against a node whose own entry another writer has replaced and that does not write it
// again, or writes it in a loop.
func TestSpoiledOwnEntryIsWrittenAgain(t *testing.T) {
	for name, value := range oddValues("a") {
		t.Run(name, func(t *testing.T) {
			runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
				a := startNode(ctx, "a", store)
				a.announce(directory.Ready)
				time.Sleep(time.Second)
				_, revision := entryOf(store, "a")
				put(t, store, "nodes/a", value, revision)
				time.Sleep(2 * time.Second)
				e, restored := entryOf(store, "a")
				assert.Assert(t, e.Upstream != nil)
				assert.Equal(t, e.Upstream.ID, "i-a")
				assert.Assert(t, e.Same(a.config.Directory.Self()))
				time.Sleep(20 * time.Second)
				_, revision = entryOf(store, "a")
				assert.Equal(t, revision, restored)
			})
		})
	}
}

// Guards against a spoiled entry of a node that does not watch the directory itself: a watcher
// reports it, and the node writes it again.
func TestWatcherReportsSpoiledEntry(t *testing.T) {
	for name, value := range oddValues("b") {
		if name == "valid, newer" || name == "valid, older version" {
			continue // Merging a newer entry reaches the owner by gossip; an older one has no effect.
		}
		t.Run(name, func(t *testing.T) {
			runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
				watcher, owner := newNode("a", store), newNode("b", store)
				watcher.config.OnSpoiled = func(nodes []string) {
					assert.DeepEqual(t, nodes, []string{"b"})
					owner.CheckEntry()
				}
				go watcher.Run(ctx)
				go owner.publish(ctx)
				owner.announce(directory.Ready)
				time.Sleep(time.Second)
				_, revision := entryOf(store, "b")
				put(t, store, "nodes/b", value, revision)
				time.Sleep(2 * time.Second)
				e, _ := entryOf(store, "b")
				assert.Assert(t, e.Same(owner.config.Directory.Self()), "%+v", e)
			})
		})
	}
}

// Guards against an entry of the same version with other content, which a node that starts later
// would keep for good: its owner raises its version.
func TestEntryOfTheSameVersionIsExceeded(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		watcher, owner := newNode("a", store), newNode("b", store)
		watcher.config.OnSpoiled = func([]string) { owner.CheckEntry() }
		go watcher.Run(ctx)
		go owner.publish(ctx)
		owner.announce(directory.Ready)
		time.Sleep(time.Second)
		spoiled, revision := entryOf(store, "b")
		spoiled.Upstream.Slots = 99
		value, err := json.Marshal(spoiled)
		assert.NilError(t, err)
		put(t, store, "nodes/b", string(value), revision)
		time.Sleep(2 * time.Second)
		e, _ := entryOf(store, "b")
		assert.Equal(t, e.Upstream.Slots, 1)
		assert.Assert(t, e.Version > spoiled.Version)
	})
}
