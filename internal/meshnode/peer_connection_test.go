package meshnode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/budget"
	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/gossip"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/mesh"
	"github.com/mustardwing/mustardwing/internal/routing"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// plainProtocol passes calls on with the headers of the caller.
type plainProtocol struct{ stubProtocol }

func (plainProtocol) DecodeCall(http.Header) mesh.CallInfo {
	return mesh.CallInfo{ID: "1", Timeout: time.Second}
}
func (plainProtocol) EncodeCall(http.Header, mesh.UpstreamInfo)     {}
func (plainProtocol) RemoveOrganisation(http.Header)                {}
func (plainProtocol) CheckResponse(*h1.Request, *h1.Response) error { return nil }
func (plainProtocol) DecodeOutcome(*h1.Response) mesh.UpstreamOutcome {
	return mesh.UpstreamOutcome{Stamped: true}
}
func (plainProtocol) DecodeNotice(http.Header) mesh.Notice { return mesh.Notice{} }
func (plainProtocol) SetID(http.Header, string)            {}

// pair is a node with its upstream, and the part of another node that passes callers' requests on to it.
type pair struct {
	node *Node
	// callers is where callers connect.
	callers string
	// calls counts the calls that the upstream got.
	calls *atomic.Int64
}

func serveHandler(t testing.TB, s *h1.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

func newPair(t testing.TB) pair {
	p := pair{calls: &atomic.Int64{}}
	limits := func() h1.Limits {
		l := routing.DefaultLimits()
		l.HeaderTimeout, l.IdleTimeout = 30*time.Millisecond, 30*time.Millisecond
		return l
	}
	upstream := serveHandler(t, h1.NewServer(h1.HandlerFunc(func(context.Context, *h1.Request) *h1.Response {
		p.calls.Add(1)
		return &h1.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("called")}
	}), routing.DefaultLimits, zerolog.Nop()))
	route := &routing.Route{Name: "all", Host: "h", Prefix: "/", Targets: []routing.Target{{Service: "s", Weight: 1}}}
	table := routing.New(1, routing.DefaultLimits(), []*routing.Route{route})
	p.node = &Node{settings: settings.NewHolder(), started: time.Now(), config: Config{
		IP: "10.0.0.1", Service: "s", PeerAddress: "10.0.0.1:2", UpstreamAddress: upstream, Heartbeat: time.Second,
		Protocol: plainProtocol{}, Bounds: Bounds{Drain: 2 * time.Second}, Log: zerolog.Nop(),
		DecodeRoutes: func(raw []byte) (*routing.Table, error) {
			var version uint64
			err := json.Unmarshal(raw, &version)
			next := *table
			next.Version = version
			return &next, err
		},
	}}
	p.node.build(tally.NoopScope)
	p.node.document.Apply([]byte("1"), "test")
	p.node.Announce(mesh.Announcement{ID: "i-1", Incarnation: 7, Service: "s", Address: upstream, Slots: 4}, 0, true)

	d := directory.New(directory.Entry{Node: "10.0.0.2", Address: "10.0.0.2:2"}, time.Now)
	d.Merge([]directory.Entry{{
		Node: "10.0.0.1", Version: 1, Address: serveHandler(t, p.node.peers),
		Upstream: &directory.Upstream{ID: "i-1", Service: "s", Slots: 4, State: directory.Ready},
	}})
	instances := mesh.NewInstances("", "", d, func(string) settings.Values { return settings.Defaults() })
	instances.Update(time.Now())
	outbound := mesh.NewOutbound(mesh.OutboundConfig{
		Service: "caller", InFlight: mesh.NewInFlightCalls(), Protocol: plainProtocol{}, Routes: func() *routing.Table { return table },
		Instances: instances, Peers: mesh.NewPeerPools(mesh.CallsPreface), Log: zerolog.Nop(), Scope: tally.NoopScope,
		Budget: budget.New(budget.Bounds{Ratio: 1, Slack: 100, Window: time.Second}, rand.New(rand.NewPCG(1, 2))),
	})
	p.callers = serveHandler(t, h1.NewServer(outbound, limits, zerolog.Nop()))
	return p
}

// state describes all that a message of a node can change.
func (p pair) state() string {
	self, _ := json.Marshal(p.node.directory.All())
	a, _ := p.node.upstream.Current()
	return fmt.Sprintf("%d %s %+v %v", p.node.document.Version(), self, a, p.node.gossiper.LastReceived())
}

// send writes what a caller sends on one connection and returns all that it gets.
func (p pair) send(t testing.TB, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", p.callers)
	assert.NilError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, text)
	got, _ := io.ReadAll(c)
	return string(got)
}

// messageBody is a message of a node that changes the configuration and the entries.
const messageBody = `{"news":true,"config_version":9,"store_era":9,"spoiled":true,"config":9,"entries":[{"node":"10.0.0.9","version":5,"address":"10.0.0.9:2"}]}`

func post(target, header string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", target, header, len(messageBody), messageBody)
}

// Guards against a caller's request that a node applies as a message of another node, by whatever the
// caller chooses of it.
func TestRequestOfACallerIsNoMessage(t *testing.T) {
	p := newPair(t)
	smuggled := post(gossip.Path, "")
	for name, c := range map[string]struct {
		text  string
		calls int64
	}{
		"path":                  {post(gossip.Path, ""), 1},
		"path with a query":     {post(gossip.Path+"?x=1", ""), 1},
		"path without a body":   {"GET " + gossip.Path + " HTTP/1.1\r\nHost: h\r\n\r\n", 1},
		"encoding":              {post(gossip.Path, "Content-Encoding: gzip\r\n"), 1},
		"reserved headers":      {post(gossip.Path, "Mustardwing-Instance: i-9\r\nMustardwing-Message: 1\r\nmustardwing-timeout-ms: 1\r\n"), 1},
		"connection header":     {post(gossip.Path, "Connection: Mustardwing-Timeout-Ms, Mustardwing-Instance\r\n"), 1},
		"pipelined":             {post("/a", "") + smuggled, 2},
		"in the body":           {fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled), 1},
		"in chunks":             {fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled), 1},
		"preface in the body":   {fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s%s", len(smuggled)+8, mesh.MessagesPreface, smuggled), 1},
		"preface as the method": {string(mesh.MessagesPreface) + smuggled, 0},
	} {
		before, calls := p.state(), p.calls.Load()
		got := p.send(t, c.text)
		assert.Equal(t, p.state(), before, name)
		assert.Equal(t, p.calls.Load()-calls, c.calls, "%s: %s", name, got)
	}
}

// Guards against a connection to the peer listener that is served although it does not say what it
// carries, and against calls on a connection for messages.
func TestConnectionsOfPeersBeginWithAPreface(t *testing.T) {
	p := newPair(t)
	address := serveHandler(t, p.node.peers)
	send := func(text string) string {
		return pair{node: p.node, callers: address}.send(t, text)
	}
	before := p.state()
	for _, text := range []string{post(gossip.Path, ""), "\x00MWmsgs0" + post(gossip.Path, ""), "\x00MW", "GET / HTTP/1.1\r\n\r\n"} {
		assert.Equal(t, send(text), "", "%q", text)
	}
	assert.Equal(t, p.state(), before)
	assert.Assert(t, strings.HasPrefix(send(string(mesh.MessagesPreface)+"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), "HTTP/1.1 400"))
	assert.Equal(t, p.calls.Load(), int64(0))
	assert.Assert(t, strings.HasPrefix(send(string(mesh.MessagesPreface)+post("/any", "Connection: close\r\n")), "HTTP/1.1 200"))
	assert.Equal(t, p.node.document.Version(), uint64(9))
}

// Guards against any bytes that a caller sends on a connection that change the state of a node to
// which its requests are passed on.
func FuzzRequestsOfCallers(f *testing.F) {
	p := newPair(f)
	f.Add(post(gossip.Path, ""))
	f.Add(post("/a", "") + post(gossip.Path, ""))
	f.Add(string(mesh.MessagesPreface) + post(gossip.Path, "Transfer-Encoding: chunked\r\n"))
	f.Fuzz(func(t *testing.T, text string) {
		before := p.state()
		_ = p.send(t, text)
		assert.Equal(t, p.state(), before)
	})
}
