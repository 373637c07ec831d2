package storesync

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/pause"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// receiveAlways lets a node count as one that receives messages from its peers.
func (n *node) receiveAlways(ctx context.Context) {
	for ctx.Err() == nil {
		n.lastReceived.Store(time.Now().UnixNano())
		pause.For(ctx, 200*time.Millisecond)
	}
}

// startAfterAllEnded starts a node that knows only what the store holds, and returns the state
// of b's upstream there.
func startAfterAllEnded(ctx context.Context, store *platformtest.Store) (state directory.UpstreamState, serves bool) {
	fresh := startNode(ctx, "c", store)
	time.Sleep(time.Second)
	e, _ := fresh.config.Directory.Get("b")
	return fresh.stateOf("b"), e.Serves()
}

// Guards against an upstream that has left and is in use again after a restart of all nodes: its
// node announced that it leaves while the store was unavailable, and has ended before it could
// write that.
func TestLeaveDuringOutageOutlivesARestartOfAllNodes(t *testing.T) {
	for name, leave := range map[string]func(e *directory.Entry){
		"node left":       func(e *directory.Entry) { e.Leaving = true },
		"upstream drains": func(e *directory.Entry) { e.Upstream.State = directory.Draining },
	} {
		t.Run(name, func(t *testing.T) {
			runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
				bCtx, endB := context.WithCancel(ctx)
				a, b := startNode(ctx, "a", store), startNode(bCtx, "b", store)
				go a.receiveAlways(ctx)
				a.announce(directory.Ready)
				b.announce(directory.Ready)
				time.Sleep(time.Second)
				store.SetFaults(platformtest.Faults{Outage: true})
				a.config.Directory.Merge([]directory.Entry{b.config.Directory.UpdateSelf(leave)})
				time.Sleep(2 * time.Second)
				endB()
				time.Sleep(time.Second)
				store.SetFaults(platformtest.Faults{})
				time.Sleep(8 * time.Second)
				_, serves := startAfterAllEnded(ctx, store)
				assert.Assert(t, !serves)
			})
		})
	}
}

// Guards against the entry of a dead node that stays in the store because the one attempt to
// delete it failed, and names an upstream to use after a restart.
func TestDeletionOfADeadNodeIsMadeUp(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		bCtx, endB := context.WithCancel(ctx)
		a, b := startNode(ctx, "a", store), startNode(bCtx, "b", store)
		go a.receiveAlways(ctx)
		a.announce(directory.Ready)
		b.announce(directory.Ready)
		time.Sleep(time.Second)
		endB()
		store.SetFaults(platformtest.Faults{Outage: true})
		e, _ := a.config.Directory.Get("b")
		assert.Assert(t, a.config.Directory.Remove("b", e.Version))
		a.Remove(ctx, "b")
		time.Sleep(2 * time.Second)
		store.SetFaults(platformtest.Faults{})
		time.Sleep(8 * time.Second)
		state, _ := startAfterAllEnded(ctx, store)
		assert.Equal(t, state, directory.UpstreamState(""))
	})
}

// Guards against a deletion that is repeated although the node has written its entry again and so
// is alive.
func TestNodeThatWritesAgainIsNotDeletedAgain(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a, b := startNode(ctx, "a", store), startNode(ctx, "b", store)
		go a.receiveAlways(ctx)
		a.announce(directory.Ready)
		b.announce(directory.Ready)
		time.Sleep(time.Second)
		e, _ := a.config.Directory.Get("b")
		a.config.Directory.Remove("b", e.Version)
		time.Sleep(8 * time.Second)
		_, revision := entryOf(store, "b")
		assert.Assert(t, revision > 0, "b writes its entry again")
		time.Sleep(20 * time.Second)
		_, later := entryOf(store, "b")
		assert.Equal(t, later, revision)
	})
}

// Guards against calls to the store for entries that their nodes write themselves.
func TestWatcherLeavesWritingToLivingNodes(t *testing.T) {
	runWithStore(t, func(ctx context.Context, t *testing.T, store *platformtest.Store) {
		a, b := startNode(ctx, "a", store), startNode(ctx, "b", store)
		go a.receiveAlways(ctx)
		go b.receiveAlways(ctx)
		a.announce(directory.Ready)
		time.Sleep(time.Second)
		store.SetFaults(platformtest.Faults{Outage: true})
		for _, state := range []directory.UpstreamState{directory.Ready, directory.Draining} {
			b.announce(state)
			a.config.Directory.Merge([]directory.Entry{b.config.Directory.Self()})
			time.Sleep(2 * time.Second)
		}
		store.SetFaults(platformtest.Faults{})
		time.Sleep(2 * time.Second)
		before := store.Counts()
		time.Sleep(10 * time.Second)
		assert.Equal(t, store.Counts().Updates, before.Updates)
		e, _ := entryOf(store, "b")
		assert.Assert(t, e.Same(b.config.Directory.Self()))
	})
}
