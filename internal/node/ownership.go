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

// ownership runs the idempotency manager of the service that the upstream beside
// this node has announced. It is the Guard of the data path.
type ownership struct {
	newManager func(service string) *idempotency.Manager

	mu      sync.Mutex
	service string
	manager *idempotency.Manager
	stop    context.CancelFunc
	stopped chan struct{}
}

var _ idempotency.Guard = (*ownership)(nil)

// follow starts a manager for a service. It ends the previous one when the
// service differs; an empty name keeps the previous one, since the upstream may
// come back and its keys must not be forgotten.
func (o *ownership) follow(service string) {
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

// reconfigure passes new settings to the manager that runs.
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

// keySettings returns the settings in force for a service's keys.
func (n *Node) keySettings(service string) settings.Values {
	return n.settings.Resolve(settings.Path{Region: n.config.Region, Service: service})
}

// newOwnershipManager returns a manager that finds the other members of the
// service in the members table.
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
		Peer:           n.peers.at,
		Window:         values.KeyWindow,
		IsolationLimit: values.IsolationLimit,
		Log:            n.log,
		OnViolation:    n.violation,
	})
}

// liveOwners lists the members of a service that may own keys.
func (n *Node) liveOwners(service string) []*peerv1.OwnerMember {
	var owners []*peerv1.OwnerMember
	for _, m := range n.directory.live(service) {
		owners = append(owners, &peerv1.OwnerMember{Id: m.ID, Incarnation: m.Incarnation, PeerAddress: m.Addresses.Peer})
	}
	return owners
}

// violation counts an invariant found broken.
func (n *Node) violation(err error) {
	n.telemetry.Metrics.Counter("invariant_violations").Inc(1)
	n.log.Error().Err(err).Msg("invariant violated")
}

// current returns the manager if it is that of the service.
func (o *ownership) current(service string) *idempotency.Manager {
	o.mu.Lock()
	defer o.mu.Unlock()
	if service != o.service {
		return nil
	}
	return o.manager
}

// running returns the manager of whatever service there is, or nil.
func (o *ownership) running() *idempotency.Manager {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.manager
}

// Acquire implements idempotency.Guard.
func (o *ownership) Acquire(ctx context.Context, service string, key, attempt uuid.UUID) error {
	manager := o.current(service)
	if manager == nil {
		return resultcode.New(resultcode.OwnerUnavailable, "this node keeps no keys of service %q", service)
	}
	return manager.Acquire(ctx, service, key, attempt)
}

// Complete implements idempotency.Guard.
func (o *ownership) Complete(ctx context.Context, service string, key, attempt uuid.UUID, run resultcode.Execution, status int) {
	if manager := o.current(service); manager != nil {
		manager.Complete(ctx, service, key, attempt, run, status)
	}
}

// leave gives up ownership and ends the manager.
func (o *ownership) leave(ctx context.Context) error {
	manager := o.running()
	if manager == nil {
		return nil
	}
	err := manager.Leave(ctx)
	o.close()
	return err
}

// close ends the manager without leaving.
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
