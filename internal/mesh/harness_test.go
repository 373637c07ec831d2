package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/budget"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/routing"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// testProtocol is a Protocol with headers of its own.
type testProtocol struct{}

func (testProtocol) DecodeCall(h http.Header) CallInfo {
	ms, _ := strconv.Atoi(h.Get("Test-Ms"))
	info := CallInfo{ID: h.Get("Test-Id"), Timeout: time.Duration(ms) * time.Millisecond, Credential: h.Get("Test-Credential")}
	if i := strings.LastIndexByte(info.ID, '.'); i > 0 {
		info.Parent = info.ID[:i]
	}
	return info
}

func (testProtocol) RemoveOrganisation(h http.Header) {
	h.Del("Test-Credential")
	h.Del("Test-Organisation")
}

func (testProtocol) EncodeCall(h http.Header, info UpstreamInfo) {
	h.Set("Test-Ms", strconv.FormatInt(info.Timeout.Milliseconds(), 10))
	h.Set("Test-Instance", info.Instance)
	h.Set("Test-Caller", info.Caller)
	if info.Organisation != "" {
		h.Set("Test-Organisation", info.Organisation)
	}
}

func (testProtocol) DecodeOutcome(r *h1.Response) UpstreamOutcome {
	return UpstreamOutcome{
		NotRun: r.Header.Get("Test-Not-Run") != "", OtherInstance: r.Status == http.StatusMisdirectedRequest,
		Stamped: r.Header.Get("Test-Mark") != "",
	}
}

func (testProtocol) DecodeNotice(h http.Header) Notice {
	return Notice{RateLimit: admission.ParseRateLimit(h.Get("Test-Limit")), Leaving: h.Get("Test-Leaving") != ""}
}

func (testProtocol) CheckResponse(*h1.Request, *h1.Response) error { return nil }

func (testProtocol) DecodeHealth(*h1.Response) string { return "" }

func (testProtocol) SameCall(request *h1.Request, response *h1.Response) bool {
	return request.Header.Get("Test-Id") == response.Header.Get("Test-Id")
}

func (testProtocol) SetID(h http.Header, id string) { h.Set("Test-Id", id) }

// testUpstream is an upstream that handles calls as a test chooses.
type testUpstream struct {
	id string
	// received counts the calls that the upstream received, run or rejected.
	received atomic.Int64
	handler  func(ctx context.Context, r *h1.Request) *h1.Response
}

// executed is the response of an upstream that has run a call.
func executed(r *h1.Request, status int, body string) *h1.Response {
	return &h1.Response{Status: status, Body: []byte(body), Header: http.Header{"Test-Id": r.Header["Test-Id"], "Test-Mark": {"m"}}}
}

// rejected is the response of an upstream that has not run a call.
func rejected(r *h1.Request) *h1.Response {
	return &h1.Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Test-Id": r.Header["Test-Id"], "Test-Not-Run": {"1"}}}
}

// cluster has one node that sends calls and one node for each upstream.
type cluster struct {
	t         *testing.T
	outbound  *Outbound
	directory *directory.Directory
	instances *Instances
	upstreams map[string]*Upstream
	table     *routing.Table
}

// serve serves calls as an upstream does.
func serve(t *testing.T, handler h1.Handler) string {
	return serveOn(t, h1.NewServer(handler, func() h1.Limits { return PeerLimits(1 << 20) }, zerolog.Nop()))
}

// servePeer serves calls of peer nodes.
func servePeer(t *testing.T, handler h1.Handler) string {
	s := h1.NewServer(handler, func() h1.Limits { return PeerLimits(1 << 20) }, zerolog.Nop())
	s.RequirePrefaces(map[h1.Preface]h1.Handler{CallsPreface: handler})
	return serveOn(t, s)
}

func serveOn(t *testing.T, s *h1.Server) string {
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

// newCluster starts upstreams of the service "s" behind the route /r/.
func newCluster(t *testing.T, route routing.Route, upstreams ...*testUpstream) *cluster {
	t.Helper()
	route.Name, route.Host, route.Prefix = "kind", "h", "/r/"
	route.Targets = []routing.Target{{Service: "s", Weight: 1}}
	c := &cluster{t: t, upstreams: map[string]*Upstream{}, table: routing.New(1, routing.DefaultLimits(), []*routing.Route{&route})}
	c.directory = directory.New(directory.Entry{Node: "self", Address: "self:1"}, time.Now)
	values := func(string) settings.Values { return settings.Defaults() }
	c.instances = NewInstances("region", "domain", c.directory, values)
	inFlight := NewInFlightCalls()
	for i, up := range upstreams {
		up.id = fmt.Sprint("i-", i)
		address := serve(t, h1.HandlerFunc(func(ctx context.Context, r *h1.Request) *h1.Response {
			up.received.Add(1)
			return up.handler(ctx, r)
		}))
		u := NewUpstream(UpstreamConfig{
			Protocol: testProtocol{}, Routes: func() *routing.Table { return c.table }, InFlight: inFlight, DrainGracePeriod: 50 * time.Millisecond,
			Values:        func(string, string) settings.Values { return settings.Defaults() },
			OnUnreachable: func(string) {}, OnLeaving: func(string) {}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
		u.Announce(time.Now(), Announcement{ID: up.id, Service: "s", Address: address, Slots: 4})
		c.upstreams[up.id] = u
		peer := servePeer(t, u)
		c.directory.Merge([]directory.Entry{{
			Node: up.id, Version: 1, Address: peer, Region: "region", FailureDomain: "domain",
			Upstream: &directory.Upstream{ID: up.id, Service: "s", Slots: 4, State: directory.Ready},
		}})
	}
	c.instances.Update(time.Now())
	c.outbound = NewOutbound(OutboundConfig{
		Service: "caller", InFlight: inFlight, Protocol: testProtocol{}, Routes: func() *routing.Table { return c.table },
		Instances: c.instances, Peers: NewPeerPools(CallsPreface), Log: zerolog.Nop(), Scope: tally.NoopScope,
		Budget: budget.New(budget.Bounds{Ratio: 1, Slack: 100, Window: time.Second}, rand.New(rand.NewPCG(1, 2))),
	})
	return c
}

// call makes a root request and returns the response.
func (c *cluster) call(ctx context.Context, id string) *h1.Response {
	return c.outbound.Serve(ctx, newRequest(id))
}

// newRequest returns a root request.
func newRequest(id string) *h1.Request {
	return &h1.Request{
		Method: http.MethodPost, Target: "/r/x", Host: "h", Arrived: time.Now(), RemoteIP: "127.0.0.1",
		Header: http.Header{"Test-Id": {id}, "Test-Ms": {"2000"}, "Test-Caller": {"forged"}},
	}
}

func idempotent() routing.Route {
	return routing.Route{Idempotent: true, Priority: call.Normal, MaxAttempts: 2, Timeout: time.Second}
}

func nonIdempotent() routing.Route {
	return routing.Route{Priority: call.Critical, MaxAttempts: 2, Timeout: time.Second}
}
