// Package node wires the components of one daemon together and runs their
// lifecycle.
package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/admin"
	"github.com/mustardwing/mustardwing/internal/drain"
	"github.com/mustardwing/mustardwing/internal/ingress"
	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/nodeconfig"
	"github.com/mustardwing/mustardwing/internal/peer"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/retry"
	"github.com/mustardwing/mustardwing/internal/router"
	"github.com/mustardwing/mustardwing/internal/settingsync"
	"github.com/mustardwing/mustardwing/internal/status"
	"github.com/mustardwing/mustardwing/internal/telemetry"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// closeTimeout bounds how long the servers wait for active connections once the node has
// drained or the context of Shutdown has ended. After it the servers close the
// connections that are still open.
const closeTimeout = 2 * time.Second

// Node is one running daemon.
type Node struct {
	config    nodeconfig.Config
	log       zerolog.Logger
	telemetry *telemetry.Telemetry
	listeners *listeners

	settings *settingsInForce
	// gate delays calls until settings are in force.
	gate *settingsGate
	// store is nil without a platform.
	store platform.Store
	// peerClient forwards calls to peer nodes, peerServiceClients holds the clients of
	// their PeerService.
	peerClient         *peer.Client
	peerServiceClients *peerServiceClients
	members            *membership.Memberlist
	router             *router.Router
	upstream           *upstream.Upstream
	directory          *directory
	ownership          *ownership
	syncer             *settingsync.Syncer
	// reporter is nil without a platform.
	reporter   *status.Reporter
	callCounts *peer.Counts

	// callerDrain counts the in-flight calls that the caller and loopback listeners
	// accepted, upstreamDrain those that the peer listener accepted for the local
	// upstream. Either may drain without the other.
	callerDrain   *drain.State
	upstreamDrain *drain.State

	// servers holds the servers of the caller, loopback, peer and admin listeners, in
	// this order.
	servers []*http.Server
	// superseded is closed when a newer process uses this node's ID.
	superseded chan struct{}
	// ctx is canceled when the node closes.
	ctx    context.Context
	cancel context.CancelFunc
}

// New opens the listeners and builds a node, which serves after Start.
func New(config nodeconfig.Config, t *telemetry.Telemetry) (*Node, error) {
	opened, err := openListeners(config.Listen)
	if err != nil {
		return nil, err
	}
	n := &Node{
		config:        config,
		log:           t.Log,
		telemetry:     t,
		listeners:     opened,
		settings:      newSettingsInForce(),
		gate:          newSettingsGate(),
		callCounts:    &peer.Counts{},
		peerClient:    peer.NewClient(peer.ClientConfig{}),
		callerDrain:   drain.NewState(nil),
		upstreamDrain: drain.NewState(nil),
		superseded:    make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.peerServiceClients = newPeerServiceClients(n.peerClient.ControlClient())
	if config.Platform.URL != "" {
		client := platform.NewClient(platform.ClientConfig{URL: config.Platform.URL, Timeout: config.Platform.Timeout})
		n.store = platform.Limit(client, platform.LimitConfig{})
	}
	n.ownership = &ownership{newManager: n.newOwnershipManager}
	if err := n.buildControlPlane(); err != nil {
		opened.close()
		return nil, err
	}
	n.buildDataPath()
	n.buildServers()
	return n, nil
}

// buildControlPlane builds membership, settings distribution and, with a
// platform, status reporting.
func (n *Node) buildControlPlane() error {
	if err := n.buildMembership(); err != nil {
		return err
	}
	n.settings.onChange = n.onSettingsChange
	n.settings.onRefused = n.onSettingsRefused
	syncer, err := settingsync.New(settingsync.Config{
		Store:   n.store,
		Members: n.members,
		Client:  n.peerServiceClients.get,
		Apply:   n.settings.apply,
		Logger:  n.log,
	})
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	n.syncer = syncer
	if n.store == nil {
		return nil
	}
	n.reporter, err = status.New(status.Config{
		Store:        n.store,
		Members:      n.members,
		Client:       n.peerServiceClients.get,
		LocalSummary: n.summary,
		Logger:       n.log,
	})
	return errors.Wrap(err, "status")
}

func (n *Node) buildMembership() error {
	addresses := n.Addresses()
	peerAddress := addresses.Peer
	if n.config.AdvertisePeer != "" {
		peerAddress = n.config.AdvertisePeer
	}
	members, err := membership.New(membership.Config{
		ID:            n.config.NodeID,
		Region:        n.config.Region,
		FailureDomain: n.config.FailureDomain,
		Addresses:     membership.Addresses{Peer: peerAddress, Gossip: addresses.Gossip},
		Seeds:         n.config.Seeds,
		Store:         n.store,
		Client:        n.peerServiceClients.get,
		OnReplaced:    n.onReplaced,
		Logger:        n.log,
	}, n.listeners.gossip)
	if err != nil {
		return errors.Wrap(err, "membership")
	}
	n.members = members
	return nil
}

// onReplaced is called once, when a newer process with this node's ID appears.
func (n *Node) onReplaced(m membership.Member) {
	n.log.Warn().Str("address", m.Addresses.Peer).Uint64("incarnation", m.Incarnation).
		Msg("a newer process uses this node ID")
	close(n.superseded)
}

// Superseded returns a channel that is closed when a newer process uses this
// node's ID. The node must shut down then, since the other nodes accept only the
// newer process.
func (n *Node) Superseded() <-chan struct{} {
	return n.superseded
}

// buildDataPath builds the router, the directory and the upstream. Baseline is set for
// the policy without overload control, with which measurements compare.
func (n *Node) buildDataPath() {
	baseline := n.config.Policy == nodeconfig.PolicyNone
	n.router = router.New(router.Config{
		Region:    n.config.Region,
		Settings:  n.settings,
		Forwarder: n.peerClient,
		Baseline:  baseline,
		Logger:    n.log,
		Scope:     n.telemetry.Metrics,
		Tracer:    n.telemetry.Tracer,
	})
	n.directory = newDirectory(n.router)
	n.members.Subscribe(n.directory.apply)
	n.upstream = upstream.New(upstream.Config{
		Region:   n.config.Region,
		Settings: n.settings,
		Baseline: baseline,
		Logger:   n.log,
		Scope:    n.telemetry.Metrics,
	})
	n.upstream.OnChange(n.onUpstreamChange)
}

func (n *Node) buildServers() {
	ingressConfig := ingress.Config{
		Region:   n.config.Region,
		Settings: n.settings,
		Router:   n.router,
		Drain:    n.callerDrain,
		Logger:   n.log,
		Scope:    n.telemetry.Metrics,
		Tracer:   n.telemetry.Tracer,
	}
	inFlightAttempts, ledger := upstream.NewInFlightAttempts(), retry.NewLedger()
	n.servers = []*http.Server{
		ingress.NewServer(n.gate.wrap(ingress.NewCallerHandler(ingressConfig))),
		ingress.NewServer(n.gate.wrap(ingress.NewLoopbackHandler(ingress.LoopbackConfig{
			Config: ingressConfig, Upstream: n.upstream, RunningAttempts: inFlightAttempts, Ledger: ledger,
		}))),
		peer.NewServer(peer.NewHandler(peer.HandlerConfig{
			Upstream:        n.upstream,
			RunningAttempts: inFlightAttempts,
			Ledger:          ledger,
			Guard:           n.ownership,
			Drain:           n.upstreamDrain,
			Counts:          n.callCounts,
			Control:         n.controlHandler(),
			Logger:          n.log,
			Scope:           n.telemetry.Metrics,
			Tracer:          n.telemetry.Tracer,
		})),
		ingress.NewServer(admin.NewHandler(admin.Config{
			Ready:   n.ready,
			Metrics: n.telemetry.MetricsHandler,
			Status:  n.status,
			Members: n.membersView,
		})),
	}
}

func (n *Node) controlHandler() http.Handler {
	_, handler := peerv1.NewPeerServiceHandler(&control{node: n})
	return handler
}

// Addresses returns the addresses that the listeners are bound to.
func (n *Node) Addresses() Addresses {
	return n.listeners.addresses()
}

// Start starts the listeners' servers and the background tasks. It does not
// block.
func (n *Node) Start() {
	l := n.listeners
	n.serve(n.servers[0], l.caller)
	n.serve(n.servers[1], l.loopback)
	n.serve(n.servers[2], l.peer)
	n.serve(n.servers[3], l.admin)
	n.members.Start()
	n.syncer.Start()
	n.gate.startGracePeriod()
	n.watchInvariants()
	go n.reportGauges(n.ctx)
	if n.reporter != nil {
		n.reporter.Start()
	}
	n.log.Info().Interface("addresses", n.Addresses()).Msg("node started")
}

// Shutdown drains the node and leaves the fleet: after drain.GracePeriod new calls are
// refused and in-flight calls finish; then the node hands over its ownership of
// idempotency keys, leaves the membership and waits until the callers have taken their
// responses. If ctx ends while the node drains, Shutdown stops waiting for calls, closes the
// connections that are still open after closeTimeout and returns an error.
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info().Msg("shutdown started")
	n.members.UpdateLocal(func(m *membership.Metadata) { m.Draining = true })
	n.callerDrain.Begin()
	drained := n.upstreamDrain.Wait(ctx)
	if err := n.callerDrain.Wait(ctx); drained == nil {
		drained = err
	}
	if err := n.ownership.leave(ctx); err != nil {
		n.log.Warn().Err(err).Msg("handing over key ownership failed")
	}
	_ = n.members.Leave(ctx)
	n.close()
	n.listeners.waitDelivered(ctx)
	n.log.Info().Err(drained).Msg("shutdown finished")
	return errors.Wrap(drained, "calls were still in flight")
}

func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range n.servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
	n.cancel()
	_ = n.syncer.Close()
	if n.reporter != nil {
		_ = n.reporter.Close()
	}
	n.ownership.close()
	n.upstream.Close()
	_ = n.members.Close()
	n.peerClient.Close()
	_ = n.telemetry.Close(ctx)
}
