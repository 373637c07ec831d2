package node

import (
	"context"
	"sync"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/idempotency"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// ownership runs the idempotency manager of the service that the local upstream has
// announced. The manager maintains this node's ownership of the service's idempotency
// keys. ownership is the idempotency.Guard of the peer handler, which permits or refuses
// the execution of non-idempotent calls.
type ownership struct {
	newManager func(service string) *idempotency.Manager

	mu sync.Mutex
	// service is the service of manager. It is empty and manager is nil until the
	// upstream has announced itself, and always on a node without a platform.
	service string
	manager *idempotency.Manager
	// stop makes manager.Run return; stopped is closed once it has returned.
	stop    context.CancelFunc
	stopped chan struct{}
}

var _ idempotency.Guard = (*ownership)(nil)

// setService starts the manager of a service and stops the current manager if it is that
// of another service. An empty name keeps the current manager, since the upstream may
// announce itself again and its keys must not be forgotten.
func (o *ownership) setService(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if service == "" || service == o.service {
		return
	}
	if o.manager != nil {
		o.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	manager, stopped := o.newManager(service), make(chan struct{})
	o.service, o.manager, o.stop, o.stopped = service, manager, cancel, stopped
	go func() {
		defer close(stopped)
		manager.Run(ctx)
	}()
}

// reconfigure passes new settings to the current manager.
func (o *ownership) reconfigure(resolve func(service string) settings.Values) {
	o.mu.Lock()
	service, manager := o.service, o.manager
	o.mu.Unlock()
	if manager == nil {
		return
	}
	values := resolve(service)
	manager.Configure(values.KeyWindow, values.IsolationLimit)
}

// keySettings returns the settings in force for a service's idempotency keys.
func (n *Node) keySettings(service string) settings.Values {
	return n.settings.Resolve(settings.Path{Region: n.config.Region, Service: service})
}

// newOwnershipManager returns a manager that looks up the live members of the service
// in the directory.
func (n *Node) newOwnershipManager(service string) *idempotency.Manager {
	self := n.members.Self()
	values := n.keySettings(service)
	return idempotency.NewManager(idempotency.Config{
		Service: service,
		Self: idempotency.Member{
			Identity: idempotency.Identity{ID: self.ID, Incarnation: self.Incarnation},
			Address:  self.Addresses.Peer,
		},
		Store:          n.store,
		Live:           func() []*peerv1.OwnerMember { return n.liveOwners(service) },
		Peer:           n.peerServiceClients.get,
		Window:         values.KeyWindow,
		IsolationLimit: values.IsolationLimit,
		Log:            n.log,
		OnViolation:    n.reportViolation,
	})
}

// liveOwners returns the live members of a service that may own its idempotency keys:
// those that are not draining.
func (n *Node) liveOwners(service string) []*peerv1.OwnerMember {
	var owners []*peerv1.OwnerMember
	for _, m := range n.directory.liveMembers(service) {
		owners = append(owners, &peerv1.OwnerMember{Id: m.ID, Incarnation: m.Incarnation, PeerAddress: m.Addresses.Peer})
	}
	return owners
}

// reportViolation counts and logs a violated invariant.
func (n *Node) reportViolation(err error) {
	n.telemetry.Metrics.Counter("invariant_violations").Inc(1)
	n.log.Error().Err(err).Msg("invariant violated")
}

// managerOf returns the manager of a service, or nil if the node has none for it.
func (o *ownership) managerOf(service string) *idempotency.Manager {
	o.mu.Lock()
	defer o.mu.Unlock()
	if service != o.service {
		return nil
	}
	return o.manager
}

// currentManager returns the manager, whatever its service, or nil if there is none.
func (o *ownership) currentManager() *idempotency.Manager {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.manager
}

// Acquire implements idempotency.Guard.
func (o *ownership) Acquire(ctx context.Context, service string, key, attempt uuid.UUID) error {
	manager := o.managerOf(service)
	if manager == nil {
		return resultcode.New(resultcode.OwnerUnavailable, "this node manages no idempotency keys of service %q", service)
	}
	return manager.Acquire(ctx, service, key, attempt)
}

// Complete implements idempotency.Guard.
func (o *ownership) Complete(ctx context.Context, service string, key, attempt uuid.UUID, execution resultcode.Execution, status int) {
	if manager := o.managerOf(service); manager != nil {
		manager.Complete(ctx, service, key, attempt, execution, status)
	}
}

// leave hands over ownership and stops the manager, also when the handover fails. It
// does nothing without a manager.
func (o *ownership) leave(ctx context.Context) error {
	manager := o.currentManager()
	if manager == nil {
		return nil
	}
	err := manager.Leave(ctx)
	o.close()
	return err
}

// close stops the manager without handing over ownership and waits until it has
// stopped. It may be called more than once.
func (o *ownership) close() {
	o.mu.Lock()
	stop, stopped := o.stop, o.stopped
	o.mu.Unlock()
	if stop == nil {
		return
	}
	stop()
	<-stopped
}
