// Package node wires the parts of one daemon together and runs their lifecycle.
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

// closeTimeout bounds how long the servers wait for connections after all calls
// have ended.
const closeTimeout = 2 * time.Second

// Node is one running daemon.
type Node struct {
	config    nodeconfig.Config
	log       zerolog.Logger
	telemetry *telemetry.Telemetry
	listeners *listeners

	settings   *settingsInForce
	gate       *settingsGate
	store      platform.Store
	peerClient *peer.Client
	peers      *peerClients
	members    *membership.Memberlist
	router     *router.Router
	upstream   *upstream.Upstream
	directory  *directory
	ownership  *ownership
	syncer     *settingsync.Syncer
	// reporter is nil without a platform.
	reporter *status.Reporter
	calls    *peer.Counts

	// callers counts calls that enter the system here, and work those that the
	// upstream beside this node runs. Either may drain without the other.
	callers *drain.State
	work    *drain.State

	servers    []*http.Server
	superseded chan struct{}
	// running ends when the node closes.
	running context.Context
	cancel  context.CancelFunc
}

// New opens the listeners and builds a node that serves nothing yet.
func New(config nodeconfig.Config, t *telemetry.Telemetry) (*Node, error) {
	opened, err := openListeners(config.Listen)
	if err != nil {
		return nil, err
	}
	n := &Node{
		config:     config,
		log:        t.Log,
		telemetry:  t,
		listeners:  opened,
		settings:   newSettingsInForce(),
		gate:       newSettingsGate(),
		calls:      &peer.Counts{},
		peerClient: peer.NewClient(peer.ClientConfig{}),
		callers:    drain.NewState(nil),
		work:       drain.NewState(nil),
		superseded: make(chan struct{}),
	}
	n.running, n.cancel = context.WithCancel(context.Background())
	n.peers = newPeerClients(n.peerClient.ControlClient())
	if config.Platform.URL != "" {
		client := platform.NewClient(platform.ClientConfig{URL: config.Platform.URL, Timeout: config.Platform.Timeout})
		n.store = platform.Limit(client, platform.LimitConfig{})
	}
	n.ownership = &ownership{newManager: n.newOwnershipManager}
	if err := n.buildControl(); err != nil {
		opened.close()
		return nil, err
	}
	n.buildDataPath()
	n.buildServers()
	return n, nil
}

// buildControl makes the parts that nodes run among themselves.
func (n *Node) buildControl() error {
	if err := n.buildMembership(); err != nil {
		return err
	}
	n.settings.changed = n.settingsChanged
	n.settings.refused = n.settingsRefused
	syncer, err := settingsync.New(settingsync.Config{
		Store:   n.store,
		Members: n.members,
		Client:  n.peers.at,
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
		Client:       n.peers.at,
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
		Client:        n.peers.at,
		OnReplaced:    n.replaced,
		Logger:        n.log,
	}, n.listeners.gossip)
	if err != nil {
		return errors.Wrap(err, "membership")
	}
	n.members = members
	return nil
}

// replaced is called once, when a newer process uses this node's id.
func (n *Node) replaced(m membership.Member) {
	n.log.Warn().Str("address", m.Addresses.Peer).Uint64("incarnation", m.Incarnation).
		Msg("another process runs with this node id")
	close(n.superseded)
}

// Superseded is closed when a newer process uses this node's id. The node has to
// shut down then, since the fleet listens only to the newer one.
func (n *Node) Superseded() <-chan struct{} {
	return n.superseded
}

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
	n.upstream.OnChange(n.upstreamChanged)
}

func (n *Node) buildServers() {
	front := ingress.Config{
		Region:   n.config.Region,
		Settings: n.settings,
		Router:   n.router,
		Drain:    n.callers,
		Logger:   n.log,
		Scope:    n.telemetry.Metrics,
		Tracer:   n.telemetry.Tracer,
	}
	running, ledger := upstream.NewInFlightAttempts(), retry.NewLedger()
	n.servers = []*http.Server{
		ingress.NewServer(n.gate.wrap(ingress.NewCallerHandler(front))),
		ingress.NewServer(n.gate.wrap(ingress.NewLoopbackHandler(ingress.LoopbackConfig{
			Config: front, Upstream: n.upstream, RunningAttempts: running, Ledger: ledger,
		}))),
		peer.NewServer(peer.NewHandler(peer.HandlerConfig{
			Upstream:        n.upstream,
			RunningAttempts: running,
			Ledger:          ledger,
			Guard:           n.ownership,
			Drain:           n.work,
			Counts:          n.calls,
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

// Addresses returns the real addresses of the listeners.
func (n *Node) Addresses() Addresses {
	return n.listeners.addresses()
}

// Start begins to serve.
func (n *Node) Start() {
	l := n.listeners
	n.serve(n.servers[0], l.caller)
	n.serve(n.servers[1], l.loopback)
	n.serve(n.servers[2], l.peer)
	n.serve(n.servers[3], l.admin)
	n.members.Start()
	n.syncer.Start()
	n.gate.startGrace()
	n.watchInvariants()
	go n.reportGauges(n.running)
	if n.reporter != nil {
		n.reporter.Start()
	}
	n.log.Info().Interface("addresses", n.Addresses()).Msg("node started")
}

// Shutdown leaves the fleet without cutting off a call: new ones are refused
// after the notice period, running ones end, then the node leaves.
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info().Msg("shutdown started")
	n.members.UpdateLocal(func(a *membership.Metadata) { a.Draining = true })
	n.callers.Begin()
	drained := n.work.Wait(ctx)
	if err := n.callers.Wait(ctx); drained == nil {
		drained = err
	}
	if err := n.ownership.leave(ctx); err != nil {
		n.log.Warn().Err(err).Msg("ownership could not be handed over")
	}
	_ = n.members.Leave(ctx)
	n.close()
	n.log.Info().Err(drained).Msg("shutdown ended")
	return errors.Wrap(drained, "calls were still running")
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
