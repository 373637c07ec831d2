package meshnode

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/mesh"
	"github.com/mustardwing/mustardwing/internal/routing"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// stubProtocol suffices for a node that passes on no calls.
type stubProtocol struct{ mesh.Protocol }

func (stubProtocol) SameCall(*h1.Request, *h1.Response) bool { return true }

func (stubProtocol) DecodeHealth(r *h1.Response) string {
	if r.Status != http.StatusOK {
		return ""
	}
	return r.Header.Get("Instance")
}

// upstreamHealth is how the upstream of a test node responds to health checks.
type upstreamHealth struct {
	status   int
	instance string
	checks   atomic.Int32
	// checked receives a value when a check arrives, unless it is nil.
	checked chan struct{}
	// respond, unless nil, delays the responses until it is closed.
	respond chan struct{}
}

func (h *upstreamHealth) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.checks.Add(1)
	if h.respond != nil {
		h.checked <- struct{}{}
		<-h.respond
	}
	w.Header().Set("Instance", h.instance)
	w.WriteHeader(h.status)
}

// newNode returns a node without listeners beside an upstream whose health checks are served by
// health, or beside none if that is nil.
func newNode(t *testing.T, health *upstreamHealth) *Node {
	address := "127.0.0.1:1"
	if health != nil {
		server := httptest.NewServer(health)
		t.Cleanup(server.Close)
		address = server.Listener.Addr().String()
	}
	n := &Node{settings: settings.NewHolder(), started: time.Now(), config: Config{
		IP: "10.0.0.1", Service: "s", PeerAddress: "10.0.0.1:2", UpstreamAddress: address, Heartbeat: time.Second,
		Protocol: stubProtocol{}, Bounds: Bounds{Drain: 2 * time.Second}, Log: zerolog.Nop(),
		DecodeRoutes: func([]byte) (*routing.Table, error) {
			table := routing.New(1, routing.DefaultLimits(), nil)
			table.HealthPaths = map[string]string{"s": "/health"}
			return table, nil
		},
	}}
	n.build(tally.NoopScope)
	n.document.Apply(nil, "test")
	return n
}

// adopted waits until the node has adopted an upstream and returns its announcement.
func adopted(t *testing.T, n *Node) mesh.Announcement {
	t.Helper()
	for range 200 {
		if a, ok := n.upstream.Current(); ok {
			return a
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no upstream was adopted")
	return mesh.Announcement{}
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
	n := newNode(t, &upstreamHealth{status: http.StatusOK, instance: "i-1"})
	n.directory.Merge([]directory.Entry{earlierEntry(5)})
	assert.Assert(t, !adopted(t, n).Draining)
	n.Withdraw("i-1", 0)
	a, _ := n.upstream.Current()
	assert.Assert(t, a.Draining)
	assert.Equal(t, n.directory.Self().Upstream.State, directory.Draining)
	n.Withdraw("i-2", 0)
	assert.Equal(t, n.directory.Self().Upstream.ID, "i-1")
}

// Guards against the adoption of an upstream whose withdrawal was acknowledged before
// the entry of the earlier process arrived.
func TestWithdrawnUpstreamIsNotAdopted(t *testing.T) {
	health := &upstreamHealth{status: http.StatusOK, instance: "i-1"}
	n := newNode(t, health)
	n.Withdraw("i-1", 0)
	n.directory.Merge([]directory.Entry{earlierEntry(5)})
	time.Sleep(100 * time.Millisecond)
	_, adopted := n.upstream.Current()
	assert.Assert(t, !adopted)
	assert.Assert(t, n.directory.Self().Upstream == nil)
	assert.Equal(t, health.checks.Load(), int32(0))
}

// Guards against the adoption of an upstream that has left although the entry of the earlier process
// shows it as ready, because the store has missed the leave, and of another one at its address.
func TestUpstreamThatDoesNotConfirmIsNotAdopted(t *testing.T) {
	for name, health := range map[string]*upstreamHealth{
		"leaves":           {status: http.StatusServiceUnavailable, instance: "i-1"},
		"another instance": {status: http.StatusOK, instance: "i-2"},
		"no instance":      {status: http.StatusOK},
		"no upstream":      nil,
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, health)
			n.directory.Merge([]directory.Entry{earlierEntry(5)})
			time.Sleep(100 * time.Millisecond)
			n.directory.Merge([]directory.Entry{earlierEntry(5)})
			time.Sleep(20 * time.Millisecond)
			_, adopted := n.upstream.Current()
			assert.Assert(t, !adopted)
			assert.Assert(t, n.directory.Self().Upstream == nil)
			if health != nil {
				assert.Equal(t, health.checks.Load(), int32(1))
			}
			n.Announce(mesh.Announcement{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Slots: 4}, 0, true)
			assert.Equal(t, n.directory.Self().Upstream.State, directory.Ready)
		})
	}
}

// Guards against the adoption of an upstream that leaves while it confirms that it is ready.
func TestUpstreamThatLeavesDuringTheCheckIsNotAdopted(t *testing.T) {
	health := &upstreamHealth{status: http.StatusOK, instance: "i-1", checked: make(chan struct{}), respond: make(chan struct{})}
	n := newNode(t, health)
	n.directory.Merge([]directory.Entry{earlierEntry(5)})
	<-health.checked
	n.Withdraw("i-1", 0)
	close(health.respond)
	time.Sleep(100 * time.Millisecond)
	_, adopted := n.upstream.Current()
	assert.Assert(t, !adopted)
}

// announceEarly makes the announcement of instance i-1 with incarnation 7, which may have been sent
// before the start of the node.
func announceEarly(n *Node) {
	n.Announce(mesh.Announcement{ID: "i-1", Incarnation: 7, Service: "s", Address: n.config.UpstreamAddress, Slots: 4}, 0, false)
}

// Guards against a late announcement that makes an upstream ready again which has left before the
// restart of its node, when nobody else knows of the leave.
func TestLateAnnouncementNeedsConfirmation(t *testing.T) {
	for name, health := range map[string]*upstreamHealth{
		"leaves":           {status: http.StatusServiceUnavailable, instance: "i-1"},
		"another instance": {status: http.StatusOK, instance: "i-2"},
		"no upstream":      nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, health)
			announceEarly(n)
			time.Sleep(100 * time.Millisecond)
			announceEarly(n)
			time.Sleep(300 * time.Millisecond)
			_, announced := n.upstream.Current()
			assert.Assert(t, !announced)
			assert.Assert(t, n.directory.Self().Upstream == nil)
		})
	}
}

// Guards against an upstream that is kept out although it accepts calls: it confirms at once, or its
// health check fails and it announces itself again, or no configuration says how to check it.
func TestUpstreamThatAcceptsCallsIsNotKeptOut(t *testing.T) {
	nothing := func(*Node) {}
	for name, c := range map[string]struct {
		status        int
		before, after func(n *Node)
	}{
		"confirms": {http.StatusOK, nothing, nothing},
		"known to have announced itself since the start": {http.StatusServiceUnavailable, nothing, func(n *Node) {
			n.Announce(mesh.Announcement{ID: "i-1", Incarnation: 7, Service: "s", Address: "127.0.0.1:1", Slots: 4}, 0, true)
		}},
		"no announcement can be late any more": {http.StatusServiceUnavailable, func(n *Node) { n.started = n.started.Add(-n.announcementDelay()) }, nothing},
		"first start of the fleet":             {http.StatusServiceUnavailable, func(n *Node) { n.config.FirstStart = true }, nothing},
		"no health check":                      {http.StatusServiceUnavailable, func(n *Node) { n.document.Table().HealthPaths["s"] = "" }, nothing},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, &upstreamHealth{status: c.status, instance: "i-1"})
			c.before(n)
			announceEarly(n)
			c.after(n)
			assert.Assert(t, !adopted(t, n).Draining)
			n.announceMu.Lock()
			defer n.announceMu.Unlock()
			assert.Equal(t, n.directory.Self().Upstream.State, directory.Ready)
		})
	}
}

// Guards against a pending announcement that is applied although its sender has left meanwhile.
func TestLeaveDuringTheConfirmation(t *testing.T) {
	for name, leave := range map[string]func(n *Node){
		"deregisters": func(n *Node) { n.Withdraw("i-1", 7) },
		"a peer knows of the leave": func(n *Node) {
			earlier := earlierEntry(5)
			earlier.Upstream.State, earlier.Upstream.Incarnation = directory.Draining, 7
			n.directory.Merge([]directory.Entry{earlier})
		},
	} {
		t.Run(name, func(t *testing.T) {
			health := &upstreamHealth{status: http.StatusOK, instance: "i-1", checked: make(chan struct{}), respond: make(chan struct{})}
			n := newNode(t, health)
			announceEarly(n)
			<-health.checked
			leave(n)
			close(health.respond)
			time.Sleep(100 * time.Millisecond)
			_, announced := n.upstream.Current()
			assert.Assert(t, !announced)
		})
	}
}

// Guards against a late announcement that makes an upstream ready again which has left before the
// restart of its node, when the node learns of the leave after it.
func TestLeaveLearnedAfterALateAnnouncement(t *testing.T) {
	n := newNode(t, nil)
	n.Announce(mesh.Announcement{ID: "i-1", Incarnation: 7, Service: "s", Address: "127.0.0.1:1", Slots: 4}, 0, true)
	earlier := earlierEntry(5)
	earlier.Upstream.State, earlier.Upstream.Incarnation = directory.Draining, 7
	n.directory.Merge([]directory.Entry{earlier})
	a, _ := n.upstream.Current()
	assert.Assert(t, a.Draining)
	assert.Equal(t, n.directory.Self().Upstream.State, directory.Draining)
}

// Guards against an adoption that overwrites a newer announcement of the
// upstream.
func TestAdoptionDoesNotReplaceAnnouncement(t *testing.T) {
	n := newNode(t, nil)
	n.Announce(mesh.Announcement{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Slots: 4, Draining: true}, 0, true)
	n.directory.Merge([]directory.Entry{earlierEntry(uint64(time.Now().Add(time.Hour).UnixMilli()))})
	a, _ := n.upstream.Current()
	assert.Assert(t, a.Draining)
	assert.Equal(t, n.directory.Self().Upstream.State, directory.Draining)
}

// Guards against a draining upstream that becomes ready again because its node has restarted.
func TestUpstreamKeepsDrainingAcrossRestart(t *testing.T) {
	for _, removed := range []bool{false, true} {
		n := newNode(t, nil)
		earlier := earlierEntry(5)
		earlier.Upstream.State, earlier.Upstream.Incarnation, earlier.Removed = directory.Draining, 7, removed
		n.directory.Merge([]directory.Entry{earlier})
		a := mesh.Announcement{ID: "i-1", Incarnation: 7, Service: "s", Address: "127.0.0.1:1", Slots: 4}
		n.Announce(a, 0, true)
		assert.Equal(t, n.directory.Self().Upstream.State, directory.Draining, "removed: %t", removed)
		a.Incarnation = 8
		n.Announce(a, 0, true)
		assert.Equal(t, n.directory.Self().Upstream.State, directory.Ready)
	}
}

// Guards against a draining upstream that becomes ready again because the store returns an older entry.
func TestUpstreamKeepsDrainingWhenOlderEntryReturns(t *testing.T) {
	n := newNode(t, nil)
	for i, incarnation := range []int64{7, 6} {
		earlier := earlierEntry(5 - uint64(i))
		earlier.Upstream.State, earlier.Upstream.Incarnation = directory.Draining, incarnation
		n.directory.Merge([]directory.Entry{earlier})
	}
	n.Announce(mesh.Announcement{ID: "i-1", Incarnation: 7, Service: "s", Address: "127.0.0.1:1", Slots: 4}, 0, true)
	assert.Equal(t, n.directory.Self().Upstream.State, directory.Draining)
}
