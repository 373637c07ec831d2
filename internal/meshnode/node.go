// Package meshnode puts together a node that carries calls by routes: the
// listeners for callers and other nodes, the directory, and what keeps it and the
// configuration up to date.
package meshnode

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/admin"
	"github.com/mustardwing/mustardwing/internal/budget"
	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/gossip"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/mesh"
	"github.com/mustardwing/mustardwing/internal/metrics"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/routing"
	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/storesync"
)

const (
	// memoryPart is the part of the memory limit that the Go heap may use; the
	// rest is for buffers of the kernel and stacks.
	memoryPart = 0.5
	// bodyPart is the part of the memory limit that request bodies may fill at each
	// of the two listeners.
	bodyPart = 0.15
	// gcPercent trades memory, of which there is plenty, for processor time.
	gcPercent = 200
	// instancesWait is how long a node waits after its start for instances of all
	// services that have routes, before it says that it is ready without them.
	instancesWait = 3 * time.Second
	// leaveNotice is how long a node that shuts down still serves, so that
	// callers and other nodes learn of it.
	leaveNotice = 2300 * time.Millisecond
	// serveOn is the part of the notice during which the upstream still gets new
	// calls: what they need after it is time enough to finish.
	serveOn = 1200 * time.Millisecond
	// lastResponses is how long before its end a node responds to the calls that are
	// still in flight; it is ample for writing them.
	lastResponses = 150 * time.Millisecond
	// drainPart is the part of the drain bound after which calls for an upstream
	// that leaves are refused.
	drainPart = 0.4
	// silentBeats is the number of heartbeats an upstream may miss before it counts
	// as gone. One may be seconds late.
	silentBeats  = 4
	silenceCheck = time.Second
	settlePoll   = 20 * time.Millisecond
	// adminHeaderTimeout bounds the header of a request of an operator.
	adminHeaderTimeout = 5 * time.Second
)

// Bounds are the operators' bounds.
type Bounds struct {
	// Drain is the longest time after its announcement that an upstream that
	// leaves may get new calls.
	Drain time.Duration
	// RetryRatio and RetrySlack bound the repeats at a service in any
	// RepeatWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

func (b Bounds) budget() budget.Bounds {
	return budget.Bounds{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

func (b Bounds) drainLimit() time.Duration {
	return time.Duration(drainPart * float64(b.Drain))
}

// Config holds what a Node needs.
type Config struct {
	IP, Region, FailureDomain, Service string
	// CallerAddress takes calls of this machine, PeerAddress those of other nodes.
	CallerAddress, PeerAddress string
	// UpstreamAddress is where the upstream takes calls.
	UpstreamAddress string
	// AdminAddress serves health, metrics, status and members.
	AdminAddress string
	Protocol     mesh.Protocol
	DecodeRoutes func([]byte) (*routing.Table, error)
	Store        platform.Store
	Keys         storesync.Keys
	Seeds        []string
	Bounds       Bounds
	// Heartbeat is how often the upstream announces itself.
	Heartbeat time.Duration
	MemoryMiB int64
	Log       zerolog.Logger
}

// Node is a running node.
type Node struct {
	config    Config
	directory *directory.Directory
	document  *gossip.Document
	settings  *settings.Holder
	gossiper  *gossip.Gossiper
	syncer    *storesync.Syncer
	instances *mesh.Instances
	links     *mesh.PeerPools
	upstream  *mesh.Upstream
	budget    *budget.Budget
	caller    *mesh.Outbound
	callers   *h1.Server
	peers     *h1.Server
	listeners []net.Listener
	started   time.Time
	leaving   atomic.Bool
	// announcing keeps what the upstream says and what is adopted in order, withdrawn
	// is the instance that left last without an announcement to this process.
	announcing sync.Mutex
	withdrawn  string
	// served is set once the node knew an instance of every service.
	served atomic.Bool
}

// New opens the listeners of a node; Start serves them.
func New(config Config) (*Node, error) {
	debug.SetGCPercent(gcPercent)
	if config.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(config.MemoryMiB<<20)))
	}
	n := &Node{config: config, started: time.Now(), settings: settings.NewHolder()}
	scope, handler, _ := metrics.New()
	n.build(scope)
	if err := n.serveAdmin(handler); err != nil {
		return nil, err
	}
	for _, address := range []string{config.CallerAddress, config.PeerAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		n.listeners = append(n.listeners, l)
	}
	return n, nil
}

func (n *Node) build(scope tally.Scope) {
	c := n.config
	values := func(service string) settings.Values {
		return n.settings.Tree().Resolve(settings.Path{Region: c.Region, Service: service})
	}
	n.directory = directory.New(directory.Entry{Node: c.IP, Address: c.PeerAddress, Region: c.Region, FailureDomain: c.FailureDomain}, time.Now)
	n.document = gossip.NewDocument(c.DecodeRoutes, c.Log)
	n.links = mesh.NewPeerPools()
	n.instances = mesh.NewInstances(c.Region, c.FailureDomain, n.directory, values)
	n.budget = budget.New(c.Bounds.budget())
	n.gossiper = gossip.New(gossip.Config{
		Directory: n.directory, Document: n.document, Sender: n.links, Seeds: c.Seeds,
		Removed: func(node string) { go n.syncer.Remove(context.Background(), node) }, Log: c.Log, Scope: scope,
	})
	n.syncer = storesync.New(storesync.Config{
		Store: c.Store, Keys: c.Keys, Directory: n.directory, Document: n.document,
		LastExchange: n.gossiper.LastExchange, ReachableFraction: n.gossiper.ReachableFraction, Settings: n.settings, SettingsChanged: n.settingsChanged, Log: c.Log, Scope: scope,
	})
	running := mesh.NewInFlightCalls()
	n.upstream = mesh.NewUpstream(mesh.UpstreamConfig{
		Protocol: c.Protocol, InFlight: running, DrainGracePeriod: c.Bounds.drainLimit(),
		Values: values, OnUnreachable: n.lostUpstream, Log: c.Log, Scope: scope,
	})
	n.caller = mesh.NewOutbound(mesh.OutboundConfig{
		Service: c.Service, InFlight: running, Protocol: c.Protocol, Routes: n.document.Table,
		Instances: n.instances, Peers: n.links, Budget: n.budget, Log: c.Log, Scope: scope,
	})
	n.callers = h1.NewServer(n.caller, n.limits, c.Log)
	n.peers = h1.NewServer(h1.HandlerFunc(n.servePeer), func() h1.Limits { return mesh.PeerLimits(n.limits().MaxBodyBytes) }, c.Log)
	n.directory.OnChange(n.directoryChanged)
	n.directory.OnEarlierEntry(n.adoptUpstream)
	n.document.OnChange(func(*routing.Table) { n.gossiper.DisseminateConfig() })
}

func (n *Node) limits() h1.Limits {
	limits := routing.DefaultLimits()
	if table := n.document.Table(); table != nil {
		limits = table.Limits
	}
	limits.MaxBufferedBytes = int64(bodyPart * float64(n.config.MemoryMiB<<20))
	return limits
}

// Start serves calls and follows the store until ctx ends.
func (n *Node) Start(ctx context.Context) {
	for i, server := range []*h1.Server{n.callers, n.peers} {
		go func() {
			if err := server.Serve(n.listeners[i]); err != nil {
				n.config.Log.Error().Err(err).Msg("listener failed")
			}
		}()
	}
	go n.gossiper.Run(ctx)
	go n.watchUpstream(ctx)
	go n.syncer.Run(ctx)
}

func (n *Node) servePeer(ctx context.Context, r *h1.Request) *h1.Response {
	if r.Target == gossip.Path {
		return n.gossiper.Serve(ctx, r)
	}
	return n.upstream.Serve(ctx, r)
}

// settingsChanged puts the settings tree in force where it is used.
func (n *Node) settingsChanged() {
	n.instances.Reconfigure()
	n.upstream.Reconfigure()
}

// serveAdmin serves the address for operators.
func (n *Node) serveAdmin(handler http.Handler) error {
	if n.config.AdminAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", n.config.AdminAddress)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", n.config.AdminAddress)
	}
	server := &http.Server{
		Handler: admin.NewHandler(admin.Config{
			Ready: n.Ready, Metrics: handler, Status: n.status,
			Members: func() any { return n.directory.All() },
		}),
		ReadHeaderTimeout: adminHeaderTimeout,
	}
	go func() { _ = server.Serve(l) }()
	return nil
}

// nodeStatus is what the admin address tells of this node.
type nodeStatus struct {
	Self             directory.Entry `json:"self"`
	ConfigVersion    uint64          `json:"config_version"`
	SettingsRevision int64           `json:"settings_revision"`
	Nodes            int             `json:"nodes"`
	CallsInFlight    int64           `json:"calls_in_flight"`
	UpstreamInFlight int64           `json:"upstream_in_flight"`
	Ready            string          `json:"ready"`
}

func (n *Node) status() any {
	s := nodeStatus{
		Self: n.directory.Self(), ConfigVersion: n.document.Version(), SettingsRevision: n.settings.Revision(),
		Nodes: n.directory.Size(), CallsInFlight: n.callers.InFlight(), UpstreamInFlight: n.peers.InFlight(), Ready: "yes",
	}
	if err := n.Ready(); err != nil {
		s.Ready = err.Error()
	}
	return s
}

// SetBounds puts changed bounds of the operators in force.
func (n *Node) SetBounds(b Bounds) {
	n.budget.SetBounds(b.budget())
	n.upstream.SetDrainGracePeriod(b.drainLimit())
}

// directoryChanged passes news on.
func (n *Node) directoryChanged(news []directory.Entry) {
	n.instances.Update(time.Now())
	peers := n.directory.Peers()
	n.budget.SetNodes(len(peers) + 1)
	n.links.Retain(append(peers, n.config.Seeds...))
	n.gossiper.Disseminate(news)
	self := n.directory.Self().Node
	for _, e := range news {
		log := n.config.Log.Info().Str("entry", e.Node).Uint64("version", e.Version).Bool("leaving", e.Leaving).Bool("removed", e.Removed)
		if e.Upstream != nil {
			log = log.Str("service", e.Upstream.Service).Str("instance", e.Upstream.ID).Str("state", string(e.Upstream.State))
		}
		log.Msg("directory entry changed")
		if e.Node == self {
			n.syncer.Publish()
		}
	}
}

// Ready returns nil when the node can serve calls, and otherwise the reason.
func (n *Node) Ready() error {
	switch {
	case n.leaving.Load():
		return errors.New("shutting down")
	case n.document.Table() == nil:
		return errors.New("no configuration is known yet")
	case n.served.Load() || time.Since(n.started) >= instancesWait:
		return nil
	}
	for _, service := range n.document.Table().Services() {
		if !n.instances.HasReady(service) {
			return errors.Errorf("no instance of service %q is known yet", service)
		}
	}
	n.served.Store(true)
	return nil
}

// Shutdown stops taking work and returns once what runs has ended, at the
// latest after limit.
func (n *Node) Shutdown(limit time.Duration) {
	end := time.Now().Add(limit)
	notice := time.Now().Add(min(leaveNotice, limit))
	n.leaving.Store(true)
	n.callers.Leave()
	if n.directory.Self().Serves() {
		time.Sleep(min(serveOn, limit))
	}
	n.directory.UpdateSelf(func(e *directory.Entry) { e.Leaving = true })
	for time.Now().Before(end) {
		over := time.Now().After(notice)
		if over {
			// What is taken later may not be finished when the node is killed.
			n.caller.Close()
		}
		if time.Until(end) < lastResponses {
			n.caller.Stop()
		}
		if over && n.callers.InFlight() == 0 && n.peers.InFlight() == 0 {
			break
		}
		time.Sleep(settlePoll)
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
}
