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
	store      platform.Store
	peerClient *peer.Client
	peers      *peerClients
	members    *membership.Memberlist
	router     *router.Router
	upstream   *upstream.Upstream
	directory  *directory
	ownership  *ownership

	// callers counts calls that enter the system here, and work those that the
	// upstream beside this node runs. Either may drain without the other.
	callers *drain.State
	work    *drain.State

	servers []*http.Server
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
		peerClient: peer.NewClient(peer.ClientConfig{}),
		callers:    drain.NewState(nil),
		work:       drain.NewState(nil),
	}
	n.running, n.cancel = context.WithCancel(context.Background())
	n.peers = newPeerClients(n.peerClient.ControlClient())
	if config.Platform.URL != "" {
		client := platform.NewClient(platform.ClientConfig{URL: config.Platform.URL, Timeout: config.Platform.Timeout})
		n.store = platform.Limit(client, platform.LimitConfig{})
	}
	n.ownership = &ownership{newManager: n.newOwnershipManager}
	if err := n.buildMembership(); err != nil {
		opened.close()
		return nil, err
	}
	n.buildDataPath()
	n.buildServers()
	return n, nil
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

// replaced is called when a newer process uses this node's id.
func (n *Node) replaced(m membership.Member) {
	n.log.Warn().Str("address", m.Addresses.Peer).Uint64("incarnation", m.Incarnation).
		Msg("another process runs with this node id")
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
	n.settings.onChange(n.settingsChanged)
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
	running, ledger := upstream.NewRunning(), retry.NewLedger()
	n.servers = []*http.Server{
		ingress.NewServer(ingress.NewCallerHandler(front)),
		ingress.NewServer(ingress.NewLoopbackHandler(ingress.LoopbackConfig{
			Config: front, Upstream: n.upstream, Running: running, Ledger: ledger,
		})),
		peer.NewServer(peer.NewHandler(peer.HandlerConfig{
			Upstream: n.upstream,
			Running:  running,
			Ledger:   ledger,
			Guard:    n.ownership,
			Drain:    n.work,
			Control:  n.controlHandler(),
			Logger:   n.log,
			Scope:    n.telemetry.Metrics,
			Tracer:   n.telemetry.Tracer,
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
	n.settings.notify()
	n.members.Start()
	if n.store != nil {
		go n.watchSettings(n.running)
	}
	n.log.Info().Interface("addresses", n.Addresses()).Msg("node started")
}

// Shutdown leaves the fleet without cutting off a call: new ones are refused
// after the notice period, running ones end, then the node leaves.
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info().Msg("shutdown started")
	n.members.UpdateLocal(func(a *membership.Announcement) { a.Draining = true })
	n.callers.Begin()
	drained := n.work.Drained(ctx)
	if err := n.callers.Drained(ctx); drained == nil {
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
	n.ownership.close()
	n.upstream.Close()
	_ = n.members.Close()
	n.peerClient.Close()
	_ = n.telemetry.Close(ctx)
}
