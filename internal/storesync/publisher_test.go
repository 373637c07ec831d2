package storesync

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// stored returns a node's entry in the store, the zero value when there is none.
func stored(t *testing.T, store platform.Store, name string) directory.Entry {
	t.Helper()
	var e directory.Entry
	if o, err := store.Get(context.Background(), "nodes/"+name); err == nil {
		assert.NilError(t, json.Unmarshal(o.Value, &e))
	}
	return e
}

// Guards against writes without a pause when a conflicting write finds no entry in the store.
func TestLostEntryIsNotWrittenInALoop(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a := startNode(ctx, "a", store)
		time.Sleep(time.Second)
		c := store.Copy()
		a.announce(directory.Ready)
		time.Sleep(time.Second)
		store.Restore(c)
		a.announce(directory.Draining)
		time.Sleep(2 * time.Second)
		assert.Equal(t, stored(t, store, "a").Version, a.config.Directory.Self().Version)
		assert.Assert(t, store.Counts().Updates < 6, "%d writes", store.Counts().Updates)
	})
}
