package node

import (
	"sync"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/membership"
)

// instanceSink receives the instances of a service whenever they change.
type instanceSink interface {
	SetInstances(service string, all []balancer.Instance)
}

// directory keeps the live members of each service from membership events and
// publishes those that take calls.
type directory struct {
	sink instanceSink

	mu       sync.Mutex
	services map[string]map[string]membership.Member
	// own is the node's own record as last applied.
	own *membership.Member
}

func newDirectory(sink instanceSink) *directory {
	return &directory{sink: sink, services: make(map[string]map[string]membership.Member)}
}

// apply takes one membership event.
func (d *directory) apply(e membership.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := e.Current.Service
	if e.Previous != nil && e.Previous.Service != service {
		d.remove(e.Previous.Service, e.Previous.ID)
	}
	if live(e.Current) && service != "" {
		d.add(service, e.Current)
	} else {
		d.remove(service, e.Current.ID)
	}
}

// live reports whether a member counts as running. A suspect one does: its calls
// fail soon enough if it is gone, and a lost packet must not take it out.
func live(m membership.Member) bool {
	return m.State == membership.Alive || m.State == membership.Suspect
}

// live returns the members of a service that run and do not drain, whether or
// not their upstreams take calls at the moment.
func (d *directory) live(service string) []membership.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var members []membership.Member
	for _, m := range d.services[service] {
		if !m.Draining {
			members = append(members, m)
		}
	}
	return members
}

func (d *directory) add(service string, m membership.Member) {
	if d.services[service] == nil {
		d.services[service] = make(map[string]membership.Member)
	}
	d.services[service][m.ID] = m
	d.publish(service)
}

func (d *directory) remove(service, id string) {
	if _, ok := d.services[service][id]; !ok {
		return
	}
	delete(d.services[service], id)
	d.publish(service)
}

func (d *directory) publish(service string) {
	members := d.services[service]
	instances := make([]balancer.Instance, 0, len(members))
	for _, m := range members {
		if !m.UpstreamReady {
			continue
		}
		instances = append(instances, balancer.Instance{
			ID:            m.ID,
			Incarnation:   m.Incarnation,
			Region:        m.Region,
			FailureDomain: m.FailureDomain,
			PeerAddress:   m.Addresses.Peer,
			Slots:         m.Slots,
			Draining:      m.Draining,
			ReadySince:    m.Ready,
		})
	}
	d.sink.SetInstances(service, instances)
}

// applyOwn takes the node's own record, for which membership sends no event.
func (d *directory) applyOwn(m membership.Member) {
	d.mu.Lock()
	previous := d.own
	d.own = &m
	d.mu.Unlock()
	d.apply(membership.Event{Previous: previous, Current: m})
}
