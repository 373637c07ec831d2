// Package meshnode assembles a node that routes calls: the listeners for callers
// and peer nodes, the directory, and the components that keep the directory and the
// configuration up to date.
package meshnode

import (
	"context"
	"math/rand/v2"
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
	"github.com/mustardwing/mustardwing/internal/capacity"
	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/gossip"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/mesh"
	"github.com/mustardwing/mustardwing/internal/metrics"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/quota"
	"github.com/mustardwing/mustardwing/internal/routing"
	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/storesync"
	"github.com/mustardwing/mustardwing/internal/supervise"
)

const (
	// heapFraction is the fraction of the memory that the Go heap may use; the rest is for kernel
	// buffers and stacks. It is larger than what all bodies may fill, so that the garbage collector
	// does not run without a pause while they do.
	heapFraction = 0.8
	// gcPercent is the value of GOGC. It trades memory, of which there is plenty, for
	// processor time.
	gcPercent = 200
	// instancesTimeout is how long a node waits after its start for instances
	// of all services that have routes before it reports itself ready without
	// them.
	instancesTimeout = 3 * time.Second
	// leaveGracePeriod is how long a node that shuts down still accepts root requests, so
	// that callers and peer nodes have time to learn of the shutdown.
	leaveGracePeriod = 2300 * time.Millisecond
	// upstreamGracePeriod is the first part of leaveGracePeriod, before the entry of the
	// node says that it leaves. Other nodes may still send new calls to the upstream
	// meanwhile; the rest of the period is long enough for these calls to finish.
	upstreamGracePeriod = 1200 * time.Millisecond
	// finalResponseTime is how long before the shutdown limit a node responds to the calls
	// of the local instance that are still in flight; it is ample for writing the responses.
	finalResponseTime = 150 * time.Millisecond
	// drainFraction is the fraction of Bounds.Drain after which calls for a
	// draining upstream are refused.
	drainFraction = 0.4
	// maxMissedHeartbeats is the number of heartbeats that an upstream may miss before
	// it counts as unreachable. A heartbeat may be seconds late.
	maxMissedHeartbeats = 4
	// heartbeatCheckInterval is how often a node checks for missed heartbeats.
	heartbeatCheckInterval = time.Second
	// shutdownPollInterval is how often Shutdown checks for in-flight calls.
	shutdownPollInterval = 20 * time.Millisecond
	// adminHeaderTimeout bounds reading the header of an operator's request.
	adminHeaderTimeout = 5 * time.Second
)

// Bounds are the bounds that the operators set.
type Bounds struct {
	// Drain is the longest time for which a draining upstream may still get new
	// calls after it announced that it drains.
	Drain time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries at a service; see
	// budget.Bounds.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

func (b Bounds) budget() budget.Bounds {
	return budget.Bounds{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// drainGracePeriod returns how long a draining upstream still gets new calls.
func (b Bounds) drainGracePeriod() time.Duration {
	return time.Duration(drainFraction * float64(b.Drain))
}

// Config is the configuration of a Node.
type Config struct {
	// IP is the address of the node, which identifies it in the directory. Service is
	// the service of the local instance.
	IP, Region, FailureDomain, Service string
	// CallerAddress accepts calls of the local instance, PeerAddress those of
	// peer nodes.
	CallerAddress, PeerAddress string
	// UpstreamAddress is where the upstream accepts calls.
	UpstreamAddress string
	// AdminAddress serves health, metrics, status and members; if it is empty, they
	// are not served.
	AdminAddress string
	Protocol     mesh.Protocol
	// DecodeRoutes parses and validates the operators' configuration.
	DecodeRoutes func([]byte) (*routing.Table, error)
	Store        platform.EraStore
	Keys         storesync.Keys
	// Seeds are the addresses to contact while no other node is known.
	Seeds  []string
	Bounds Bounds
	// Heartbeat is how often the upstream announces itself.
	Heartbeat time.Duration
	// FirstStart is set when the whole fleet starts for the first time, so that no node has had an
	// earlier process.
	FirstStart bool
	// LearnedCapacity is the default of the setting learned_capacity.
	LearnedCapacity bool
	// MemoryMiB is the memory of the process; with zero, neither the heap nor the bodies that it
	// holds are limited.
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
	// callPools carries calls to other nodes, messagePools the nodes' own messages.
	callPools    *mesh.PeerPools
	messagePools *mesh.PeerPools
	upstream     *mesh.Upstream
	budget       *budget.Budget
	// configAge shows the time since the configuration was last known to be what the store holds, in
	// seconds.
	configAge tally.Gauge
	outbound  *mesh.Outbound
	quotas    *quotas
	callers   *h1.Server
	peers     *h1.Server
	listeners []net.Listener
	started   time.Time
	// appliedGeneration is the generation of the directory whose peers were applied last.
	appliedGeneration atomic.Uint64
	// leaving is set once Shutdown has begun.
	leaving atomic.Bool
	// announceMu keeps announcements of the upstream, their confirmation and the adoption of an
	// earlier one in order.
	announceMu sync.Mutex
	// withdrawn is the id of the instance that Withdraw was last called for, empty before
	// the first call.
	withdrawn string
	// pending is the latest announcement that its sender has still to confirm, nil if there is none.
	pending *pendingAnnouncement
	// drainedBefore is the latest upstream that an entry of an earlier process of this node
	// shows as draining, the zero value when there is none.
	drainedBefore directory.Upstream
	// candidate is the newest entry of an earlier process whose upstream may be adopted, nil if
	// there is none or its adoption has begun. candidateVersion is the version of the latest one.
	candidate        *directory.Entry
	candidateVersion uint64
	// bodyLimit is the bound on a body in the configuration that checkBodyLimit checked last.
	bodyLimit atomic.Int64
	// wasReady is set once the node has known a ready instance of every service that has a
	// route.
	wasReady atomic.Bool
}

// New opens the listeners of a node and serves the one for operators; Start serves the
// others.
func New(config Config) (*Node, error) {
	debug.SetGCPercent(gcPercent)
	if config.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(config.MemoryMiB<<20)))
	}
	defaults := settings.Defaults()
	defaults.LearnedCapacity = config.LearnedCapacity
	n := &Node{config: config, started: time.Now(), settings: settings.NewHolderWithDefaults(defaults)}
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

// build creates the components of the node and connects them. It opens no listener.
func (n *Node) build(scope tally.Scope) {
	c := n.config
	values := func(service, kind string) settings.Values {
		return n.settings.Tree().Resolve(settings.Path{Region: c.Region, Service: service, Kind: kind})
	}
	serviceValues := func(service string) settings.Values { return values(service, "") }
	n.directory = directory.New(directory.Entry{Node: c.IP, Address: c.PeerAddress, Region: c.Region, FailureDomain: c.FailureDomain}, time.Now)
	refusals := directory.NewRefusals(c.Log, scope)
	n.directory.OnRefused(refusals.Note)
	n.document = gossip.NewDocument(c.DecodeRoutes, c.Log)
	n.callPools, n.messagePools = mesh.NewPeerPools(mesh.CallsPreface), mesh.NewPeerPools(mesh.MessagesPreface)
	n.instances = mesh.NewInstances(c.Region, c.FailureDomain, n.directory, serviceValues)
	n.budget = budget.New(c.Bounds.budget(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.budget.OnScarcity(n.logScarcity)
	n.configAge = scope.Gauge("config_age_seconds")
	storeEra, storeTrouble := gossip.NewStoreEra(c.Log), gossip.NewStoreTrouble()
	n.gossiper = gossip.New(gossip.Config{
		Directory: n.directory, Document: n.document, StoreEra: storeEra, StoreTrouble: storeTrouble, Sender: n.messagePools, Seeds: c.Seeds,
		OnRemoved: func(node string) { go n.syncer.Remove(context.Background(), node) },
		OnSpoiled: func() { n.syncer.CheckEntry() }, Log: c.Log, Scope: scope,
	})
	n.syncer = storesync.New(storesync.Config{
		Store: c.Store, Keys: c.Keys, Directory: n.directory, Document: n.document, StoreEra: storeEra, StoreTrouble: storeTrouble,
		LastReceived: n.gossiper.LastReceived, ReachableFraction: n.gossiper.ReachableFraction, Settings: n.settings, SettingsChanged: n.settingsChanged,
		OnSpoiled: func(nodes []string) { n.gossiper.ReportSpoiled(context.Background(), nodes) }, Refusals: refusals, Log: c.Log, Scope: scope,
	})
	inFlight := mesh.NewInFlightCalls()
	n.upstream = mesh.NewUpstream(mesh.UpstreamConfig{
		Protocol: c.Protocol, Routes: n.document.Table, InFlight: inFlight, DrainGracePeriod: c.Bounds.drainGracePeriod(),
		Values: values, OnUnreachable: n.markUpstreamUnreachable, OnLeaving: n.markUpstreamLeaving, MaxBufferedBytes: n.memory(responseFraction), Log: c.Log, Scope: scope,
	})
	n.quotas = newQuotas(c.PeerAddress, n.started, c.Log, scope)
	n.outbound = mesh.NewOutbound(mesh.OutboundConfig{
		Service: c.Service, InFlight: inFlight, Protocol: c.Protocol, Routes: n.document.Table,
		Instances: n.instances, Peers: n.callPools, Budget: n.budget, Quotas: n.quotas, Log: c.Log, Scope: scope,
	})
	n.buildServers(scope)
	n.directory.OnChange(n.directoryChanged)
	n.directory.OnEarlierEntry(n.noteEarlierEntry)
	n.directory.OnLeaveMissing(func(known, newer directory.Entry) { n.gossiper.ReportLeave(context.Background(), known, newer) })
	audit := newOrganisationAudit(c.Log)
	n.document.OnChange(func(table *routing.Table) {
		audit.apply(table)
		n.checkBodyLimit(table)
		n.quotas.configure(table)
		n.gossiper.DisseminateConfig()
		n.considerAdoption()
	})
}

// Start begins to serve calls, to exchange with peer nodes and to follow the store, and
// returns. The exchanges and the following of the store end with ctx; calls are served
// until Shutdown.
func (n *Node) Start(ctx context.Context) {
	for i, server := range []*h1.Server{n.callers, n.peers} {
		go func() {
			if err := server.Serve(n.listeners[i]); err != nil {
				n.config.Log.Error().Err(err).Msg("listener failed")
			}
		}()
	}
	go supervise.Loop(ctx, n.config.Log, "gossip", func() { n.gossiper.Run(ctx) })
	go supervise.Loop(ctx, n.config.Log, "upstream", func() { n.watchUpstream(ctx) })
	go n.syncer.Run(ctx)
	go n.quotas.run(ctx)
}

// settingsChanged applies the settings in force to the components that use
// them.
func (n *Node) settingsChanged() {
	n.instances.Reconfigure()
	n.upstream.Reconfigure()
}

// serveAdmin serves the admin address for operators.
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

// nodeStatus is the status of this node as the admin address returns it.
type nodeStatus struct {
	Self          directory.Entry `json:"self"`
	ConfigVersion uint64          `json:"config_version"`
	// ConfigAgeMs is the time since the configuration was last known to be what the store holds, nil if
	// that is not known.
	ConfigAgeMs      *int64 `json:"config_age_ms,omitempty"`
	SettingsRevision int64  `json:"settings_revision"`
	Nodes            int    `json:"nodes"`
	CallsInFlight    int64  `json:"calls_in_flight"`
	UpstreamInFlight int64  `json:"upstream_in_flight"`
	Ready            string `json:"ready"`
	// Organisations lists those of the configuration in force, at most maxListedOrganisations.
	Organisations      []organisationStatus `json:"organisations,omitempty"`
	OrganisationsTotal int                  `json:"organisations_total"`
	// Capacity is what has been learned about the upstream, nil while that is off.
	Capacity *capacity.Status `json:"capacity,omitempty"`
	// Quotas are the organisations of whose quota this node keeps the tally.
	Quotas []quota.Status `json:"quotas,omitempty"`
}

func (n *Node) status() any {
	s := nodeStatus{
		Self: n.directory.Self(), ConfigVersion: n.document.Version(), SettingsRevision: n.settings.Revision(),
		Nodes: n.directory.Size(), CallsInFlight: n.callers.InFlight(), UpstreamInFlight: n.peers.InFlight(), Ready: "yes",
		Quotas: n.quotas.node.Status(time.Now()),
	}
	if age, known := n.document.ConfirmedAge(time.Now()); known {
		ms := age.Milliseconds()
		s.ConfigAgeMs = &ms
	}
	s.Organisations, s.OrganisationsTotal = n.organisationStatuses()
	if err := n.Ready(); err != nil {
		s.Ready = err.Error()
	}
	if learned, known := n.upstream.Capacity(); known {
		s.Capacity = &learned
	}
	return s
}

// SetBounds applies changed bounds of the operators.
func (n *Node) SetBounds(b Bounds) {
	n.budget.SetBounds(b.budget())
	n.upstream.SetDrainGracePeriod(b.drainGracePeriod())
}

// logScarcity logs that the retries at a service no longer suffice, or do so again.
func (n *Node) logScarcity(service string, s budget.Scarcity) {
	if s.Scarce {
		n.config.Log.Info().Str("service", service).Msg("retries are scarce")
		return
	}
	n.config.Log.Info().Str("service", service).Dur("after", s.Duration).Int("granted", s.Granted).Int("denied", s.Denied).
		Ints("denied_by_priority", s.DeniedByPriority[:]).Msg("retries are no longer scarce")
}

// directoryChanged applies changed entries to the components that use them, logs them,
// disseminates them, and publishes this node's entry if it is among them.
func (n *Node) directoryChanged(changed []directory.Entry) {
	n.instances.Apply(time.Now(), changed)
	if generation := n.directory.Generation(); n.appliedGeneration.Swap(generation) != generation {
		peers := n.directory.Peers()
		n.budget.SetNodes(len(peers) + 1)
		addresses := append(peers, n.config.Seeds...)
		n.callPools.Retain(addresses)
		n.messagePools.Retain(addresses)
		n.quotas.setFleet(n.directory)
	}
	n.gossiper.Disseminate(changed)
	n.syncer.EntriesChanged(changed)
	self := n.directory.Self().Node
	for _, e := range changed {
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

// Ready returns nil when the node can serve calls, and otherwise the reason why it
// cannot. Once ready, a node stays ready until it shuts down.
func (n *Node) Ready() error {
	switch {
	case n.leaving.Load():
		return errors.New("shutting down")
	case n.document.Table() == nil:
		return errors.New("no configuration has been received yet")
	case n.wasReady.Load() || time.Since(n.started) >= instancesTimeout:
		return nil
	}
	for _, service := range n.document.Table().Services() {
		if !n.instances.HasReady(service) {
			return errors.Errorf("no ready instance of service %q is known yet", service)
		}
	}
	n.wasReady.Store(true)
	return nil
}

// Shutdown announces that the node leaves, after upstreamGracePeriod if its upstream is ready.
// From the beginning it refuses calls that would probably outlast limit, and after
// leaveGracePeriod all root requests. From then on it returns as soon as no call is in flight and the
// callers have taken the responses, after limit at the latest. Calls of the local instance that are
// still in flight shortly before the limit
// are cancelled and get a response; see mesh.Outbound.Stop.
func (n *Node) Shutdown(limit time.Duration) {
	end := time.Now().Add(limit)
	graceEnd := time.Now().Add(min(leaveGracePeriod, limit))
	n.leaving.Store(true)
	n.outbound.EndAt(end.Add(-finalResponseTime))
	n.upstream.EndAt(end.Add(-finalResponseTime))
	n.callers.DisableKeepAlives()
	if n.directory.Self().Serves() {
		time.Sleep(min(upstreamGracePeriod, limit))
	}
	n.directory.UpdateSelf(func(e *directory.Entry) { e.Leaving = true })
	for time.Now().Before(end) {
		graceOver := time.Now().After(graceEnd)
		if graceOver {
			// A root request accepted after the grace period might not finish before the
			// node is killed.
			n.outbound.Close()
		}
		if time.Until(end) < finalResponseTime {
			n.outbound.Stop()
		}
		if graceOver && n.inFlight() == 0 && !n.delivering() {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
	// A connection may have been accepted just before, and its request is still to be read.
	time.Sleep(min(shutdownPollInterval, max(0, time.Until(end))))
	for time.Now().Before(end) && (n.inFlight() > 0 || n.delivering()) {
		time.Sleep(shutdownPollInterval)
	}
	if n.delivering() {
		n.config.Log.Info().Msg("ending before all callers have taken their responses")
	}
}

// delivering reports whether a caller or a peer node may still be taking a response. The end of the
// process cuts off a response if the other end sends more before it has taken the whole.
func (n *Node) delivering() bool {
	return n.callers.Delivering() || n.peers.Delivering()
}

// inFlight returns the number of requests of callers and peer nodes that have no response yet.
func (n *Node) inFlight() int64 {
	return n.callers.InFlight() + n.peers.InFlight()
}
