package meshnode

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/mesh"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// stubProtocol suffices for a node that passes on no calls.
type stubProtocol struct{ mesh.Protocol }

func (stubProtocol) SameCall(*h1.Request, *h1.Response) bool { return true }

// newNode returns a node without listeners.
func newNode() *Node {
	n := &Node{settings: settings.NewHolder(), started: time.Now(), config: Config{
		IP: "10.0.0.1", Service: "s", PeerAddress: "10.0.0.1:2", UpstreamAddress: "127.0.0.1:1",
		Protocol: stubProtocol{}, Bounds: Bounds{Drain: 2 * time.Second}, Log: zerolog.Nop(),
	}}
	n.build(tally.NoopScope)
	return n
}

// earlierEntry returns an entry as an earlier process of the node wrote it, with a ready
// upstream.
func earlierEntry(version uint64) directory.Entry {
	return directory.Entry{
		Node: "10.0.0.1", Address: "127.0.0.1:2", Version: version,
		Upstream: &directory.Upstream{ID: "i-1", Service: "s", Slots: 4, State: directory.Ready},
	}
}

// Guards against an adopted upstream that still gets calls after its withdrawal was
// acknowledged. The users' bench found this fault (day rulaj-mesh trouble-2, seed
// 13132098762, rule DRAIN).
func TestAdoptedUpstreamCanBeWithdrawn(t *testing.T) {
	n := newNode()
	n.directory.Merge([]directory.Entry{earlierEntry(5)})
	a, adopted := n.upstream.Current()
	assert.Assert(t, adopted && !a.Draining)
	n.Withdraw("i-1")
	a, _ = n.upstream.Current()
	assert.Assert(t, a.Draining)
	assert.Equal(t, n.directory.Self().Upstream.State, directory.Draining)
	n.Withdraw("i-2")
	assert.Equal(t, n.directory.Self().Upstream.ID, "i-1")
}

// Guards against the adoption of an upstream whose withdrawal was acknowledged before
// the entry of the earlier process arrived.
func TestWithdrawnUpstreamIsNotAdopted(t *testing.T) {
	n := newNode()
	n.Withdraw("i-1")
	n.directory.Merge([]directory.Entry{earlierEntry(5)})
	_, adopted := n.upstream.Current()
	assert.Assert(t, !adopted)
	assert.Assert(t, n.directory.Self().Upstream == nil)
}

// Guards against an adoption that overwrites a newer announcement of the
// upstream.
func TestAdoptionDoesNotReplaceAnnouncement(t *testing.T) {
	n := newNode()
	n.Announce(mesh.Announcement{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Slots: 4, Draining: true}, 0)
	n.directory.Merge([]directory.Entry{earlierEntry(uint64(time.Now().Add(time.Hour).UnixMilli()))})
	a, _ := n.upstream.Current()
	assert.Assert(t, a.Draining)
	assert.Equal(t, n.directory.Self().Upstream.State, directory.Draining)
}

// Guards against a draining upstream that becomes ready again because its node has restarted.
func TestUpstreamKeepsDrainingAcrossRestart(t *testing.T) {
	n := newNode()
	earlier := earlierEntry(5)
	earlier.Upstream.State, earlier.Upstream.Incarnation = directory.Draining, 7
	n.directory.Merge([]directory.Entry{earlier})
	a := mesh.Announcement{ID: "i-1", Incarnation: 7, Service: "s", Address: "127.0.0.1:1", Slots: 4}
	n.Announce(a, 0)
	assert.Equal(t, n.directory.Self().Upstream.State, directory.Draining)
	a.Incarnation = 8
	n.Announce(a, 0)
	assert.Equal(t, n.directory.Self().Upstream.State, directory.Ready)
}

// Guards against a draining upstream that becomes ready again because the store returns an older entry.
func TestUpstreamKeepsDrainingWhenOlderEntryReturns(t *testing.T) {
	n := newNode()
	for i, incarnation := range []int64{7, 6} {
		earlier := earlierEntry(5 - uint64(i))
		earlier.Upstream.State, earlier.Upstream.Incarnation = directory.Draining, incarnation
		n.directory.Merge([]directory.Entry{earlier})
	}
	n.Announce(mesh.Announcement{ID: "i-1", Incarnation: 7, Service: "s", Address: "127.0.0.1:1", Slots: 4}, 0)
	assert.Equal(t, n.directory.Self().Upstream.State, directory.Draining)
}
