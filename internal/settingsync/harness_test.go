package settingsync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/membership/membershiptest"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/settingsync"
)

// node is a member whose Syncer applies updates to a map of values by object key.
type node struct {
	peerv1.UnimplementedPeerServiceHandler
	name   string
	list   *membership.Memberlist
	syncer *settingsync.Syncer

	mu       sync.Mutex
	revision int64
	tree     map[string]string
	// violation describes an update that did not increase the revision.
	violation string
	// applied counts the updates that apply accepted.
	applied int
}

func (n *node) SyncMembers(ctx context.Context, r *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	return n.list.SyncMembers(ctx, r)
}

func (n *node) GetSettings(ctx context.Context, r *connect.Request[peerv1.GetSettingsRequest]) (*connect.Response[peerv1.GetSettingsResponse], error) {
	return n.syncer.GetSettings(ctx, r)
}

// refusedValue is the value of an object that fails validation at a node.
const refusedValue = "invalid"

// apply refuses refusedValue and records an update that does not increase the
// revision.
func (n *node) apply(u settingsync.Update) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range u.Changes {
		if string(c.Value) == refusedValue {
			return errors.Errorf("scope %s is invalid", c.Key)
		}
	}
	if u.Revision <= n.revision {
		n.violation = fmt.Sprintf("%s: revision %d after %d", n.name, u.Revision, n.revision)
	}
	n.applied++
	n.revision = u.Revision
	if u.Snapshot {
		n.tree = map[string]string{}
	}
	for _, c := range u.Changes {
		n.tree[c.Key] = string(c.Value)
		if c.Deleted {
			delete(n.tree, c.Key)
		}
	}
	return nil
}

func (n *node) state() (int64, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revision, fmt.Sprint(n.tree)
}

type fleet struct {
	t     *testing.T
	seed  uint64
	net   *membershiptest.Network
	store *membershiptest.Store
	nodes []*node
}

func newFleet(t *testing.T, seed uint64, size int) *fleet {
	faults := membershiptest.Faults{MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond}
	f := &fleet{t: t, seed: seed, net: membershiptest.NewNetwork(seed, faults), store: membershiptest.NewStore(2 * time.Millisecond)}
	for range size {
		f.add()
	}
	return f
}

// add starts a further node. The nodes are spread over four failure domains.
func (f *fleet) add() *node {
	index := len(f.nodes)
	n := &node{name: fmt.Sprintf("h%02d", index), tree: map[string]string{}}
	f.nodes = append(f.nodes, n)
	f.start(n, string(rune('a'+index%4)))
	return n
}

func (f *fleet) start(n *node, domain string) {
	var err error
	n.list, err = membership.New(membership.Config{
		ID: n.name, Region: "ro", FailureDomain: domain, Store: f.store, RandomSeed: f.seed,
		Addresses: membership.Addresses{Peer: n.name + ":2", Gossip: n.name + ":1"},
		Client:    f.net.Client(n.name), Seeds: []string{"h00:1", "h01:1"},
	}, f.net.Listen(n.name, n.name+":1"))
	assert.NilError(f.t, err)
	n.syncer, err = settingsync.New(settingsync.Config{
		Store: f.store, Members: n.list, Client: f.net.Client(n.name), Apply: n.apply, RandomSeed: f.seed + uint64(len(f.nodes)),
	})
	assert.NilError(f.t, err)
	f.net.Serve(n.name, n.name+":2", n)
	n.list.Start()
	n.syncer.Start()
}

// stop closes a node. It resumes a paused node after Close has begun, since Close waits
// for the node's blocked sends.
func (f *fleet) stop(n *node) {
	f.net.Serve(n.name, n.name+":2", nil)
	done := make(chan struct{})
	go func() {
		_ = n.list.Close()
		_ = n.syncer.Close()
		close(done)
	}()
	synctest.Wait()
	f.net.Resume(n.name)
	<-done
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		f.stop(n)
	}
	f.net.Wait()
}

// put writes the object of one scope to the store and returns its revision.
func (f *fleet) put(scope, value string) int64 {
	key := settingsync.KeyPrefix + scope
	current, err := f.store.Get(context.Background(), key)
	if err != nil {
		current.Version = 0
	}
	object, err := f.store.Update(context.Background(), key, current.Version, []byte(value))
	assert.NilError(f.t, err)
	return object.Version
}

// waitForStoreState waits until all nodes have exactly the tree of the store in
// force, and returns how long that took.
func (f *fleet) waitForStoreState(timeout time.Duration) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for {
		difference := f.difference()
		if difference == "" {
			return time.Since(begin)
		}
		if time.Since(begin) > timeout {
			f.t.Fatalf("after %s: %s", timeout, difference)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// difference describes a node whose tree differs from the store's; empty when there is
// none.
func (f *fleet) difference() string {
	listing, err := f.store.List(context.Background(), settingsync.KeyPrefix)
	if err != nil {
		return err.Error()
	}
	want := map[string]string{}
	for _, object := range listing.Objects {
		want[object.Key] = string(object.Value)
	}
	for _, n := range f.nodes {
		if _, tree := n.state(); tree != fmt.Sprint(want) {
			return fmt.Sprintf("%s has %s instead of %v", n.name, tree, want)
		}
	}
	return ""
}

// checkViolations checks that every update increased the revision of its node, and
// that the member table holds the revision in force at each node.
func (f *fleet) checkViolations() {
	f.t.Helper()
	for _, n := range f.nodes {
		assert.Equal(f.t, n.violation, "")
		assert.Equal(f.t, n.list.Self().SettingsRevision, n.revision)
	}
}
