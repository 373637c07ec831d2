package ingress_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/drain"
	"github.com/mustardwing/mustardwing/internal/idempotency"
	"github.com/mustardwing/mustardwing/internal/ingress"
	"github.com/mustardwing/mustardwing/internal/peer"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
	"github.com/mustardwing/mustardwing/internal/router"
	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// fixedSettings resolves every path to the same values.
type fixedSettings struct{ settings.Values }

func (s fixedSettings) Resolve(settings.Path) settings.Values { return s.Values }

func (fixedSettings) MatchKind(string, string, string) string { return "" }

// memoryGuard is an idempotency.Guard that keeps the outcome of each key in memory. It
// grants a key again only after an attempt that was not run. As with the real one, each service
// has keys of its own.
type memoryGuard struct {
	mu   sync.Mutex
	keys map[serviceKey]resultcode.Execution
}

// serviceKey is a key of one service.
type serviceKey struct {
	service string
	key     uuid.UUID
}

func (g *memoryGuard) Acquire(_ context.Context, service string, key, _ uuid.UUID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if execution, known := g.keys[serviceKey{service, key}]; known && execution != resultcode.NotRun {
		return resultcode.New(resultcode.KeyCompleted, "key %s", key)
	}
	g.keys[serviceKey{service, key}] = resultcode.Unknown
	return nil
}

func (g *memoryGuard) Complete(_ context.Context, service string, key, _ uuid.UUID, execution resultcode.Execution, _ int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keys[serviceKey{service, key}] = execution
}

// node is one node with its upstream, if it has one, both in this process.
type node struct {
	// callerAddress, loopbackAddress and peerAddress are the addresses of the node's
	// listeners.
	callerAddress, loopbackAddress, peerAddress string
	upstream                                    *upstream.Upstream
	router                                      *router.Router
	drain                                       *drain.State
}

// fleet is a set of nodes that know all instances. Its fields apply to the nodes that
// are added afterwards.
type fleet struct {
	t      testing.TB
	values settings.Values
	// baseline selects the policy without overload control that measurements compare
	// with.
	baseline bool
	guard    idempotency.Guard
	// scope collects the metrics of the routers of all nodes.
	scope tally.TestScope
	// now is the clock of the drain state; nil uses time.Now.
	now func() time.Time
	// hedge replaces the hedge delay of the balancers; see router.Config.HedgeDelay.
	hedge  func(string) (time.Duration, bool)
	tracer trace.Tracer
	nodes  []*node
	// services holds the instances of each service by its name.
	services map[string][]balancer.Instance
}

// newFleet returns a fleet without nodes. change, if set, changes its fields.
func newFleet(t testing.TB, change func(*fleet)) *fleet {
	f := &fleet{
		t: t, values: settings.Defaults(),
		guard:    &memoryGuard{keys: make(map[serviceKey]resultcode.Execution)},
		services: make(map[string][]balancer.Instance),
		scope:    tally.NewTestScope("", nil),
	}
	if change != nil {
		change(f)
	}
	return f
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func serve(t testing.TB, server *http.Server) string {
	l := listen(t)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// add starts a node whose upstream at the address announces the service. change, if set,
// changes the announcement. With an empty service the node has no upstream.
func (f *fleet) add(service, address string, change func(*upstream.Announcement)) *node {
	fixed := fixedSettings{f.values}
	n := &node{drain: drain.NewState(f.now)}
	client := peer.NewClient(peer.ClientConfig{})
	n.upstream = upstream.New(upstream.Config{Settings: fixed, Baseline: f.baseline})
	n.router = router.New(router.Config{
		Settings: fixed, Forwarder: client, Baseline: f.baseline, Scope: f.scope, HedgeDelay: f.hedge,
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) },
	})
	config := ingress.Config{Settings: fixed, Router: n.router, Drain: n.drain, Tracer: f.tracer}
	running, ledger := upstream.NewInFlightAttempts(), retry.NewLedger()
	n.peerAddress = serve(f.t, peer.NewServer(peer.NewHandler(peer.HandlerConfig{
		Upstream: n.upstream, RunningAttempts: running, Ledger: ledger, Guard: f.guard, Drain: n.drain, Tracer: f.tracer,
	})))
	n.callerAddress = serve(f.t, ingress.NewServer(ingress.NewCallerHandler(config)))
	n.loopbackAddress = serve(f.t, ingress.NewServer(ingress.NewLoopbackHandler(ingress.LoopbackConfig{
		Config: config, Upstream: n.upstream, RunningAttempts: running, Ledger: ledger,
	})))
	f.t.Cleanup(func() { client.Close(); n.upstream.Close() })
	f.nodes = append(f.nodes, n)
	if service != "" {
		a := upstream.Announcement{Service: service, Address: address, Slots: 50, MaxConnections: 60, Ready: true}
		if change != nil {
			change(&a)
		}
		assert.NilError(f.t, n.upstream.Announce(a))
		f.services[service] = append(f.services[service], balancer.Instance{
			ID: n.peerAddress, PeerAddress: n.peerAddress, Slots: a.Slots, ReadySince: time.Now().Add(-time.Hour),
		})
	}
	f.connect()
	return n
}

// connect sets the known services and their instances at all nodes.
func (f *fleet) connect() {
	for _, n := range f.nodes {
		for service, all := range f.services {
			n.router.SetInstances(service, all)
		}
	}
}

// count returns the value of a router metric, summed over all nodes.
func (f *fleet) count(name string) int64 {
	return f.scope.Snapshot().Counters()[name+"+"].Value()
}

// nestedRequest returns a nested call that an upstream makes while it runs parent,
// with the headers that upstreams are documented to copy.
func nestedRequest(t testing.TB, parent *http.Request, method, loopback, service, body string) *http.Request {
	r := newRequest(t, method, loopback, service, body)
	for _, name := range []string{call.HeaderRequestID, call.HeaderAttempt, "Traceparent", "Tracestate"} {
		if values, ok := parent.Header[name]; ok {
			r.Header[name] = values
		}
	}
	return r
}

// startUpstream serves a handler as an upstream instance would and returns its address.
func startUpstream(t testing.TB, handler http.HandlerFunc) string {
	return serve(t, &http.Server{Handler: handler})
}

// newCaller returns an HTTP/1.1 client that shares no connections.
func newCaller(t testing.TB) *http.Client {
	transport := &http.Transport{DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// newRequest returns a call to a service, to be sent to a node's listener at address.
func newRequest(t testing.TB, method, address, service, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+address+"/path?q=1", strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = service + ".example"
	return r
}
