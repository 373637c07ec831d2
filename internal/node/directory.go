package node

import (
	"sync"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/membership"
)

// instanceSink receives all instances of a service each time one of its members
// changes.
type instanceSink interface {
	SetInstances(service string, all []balancer.Instance)
}

// directory tracks the live members of each service from membership events. It
// publishes those whose upstream is available as instances, also the draining ones.
type directory struct {
	sink instanceSink

	// mu is also held while sink is called, so that sink receives the states in order.
	mu sync.Mutex
	// services holds the live members by service name and node ID.
	services map[string]map[string]membership.Member
	// local is the local node's record that applyLocal applied last; nil before its first
	// call.
	local *membership.Member
}

func newDirectory(sink instanceSink) *directory {
	return &directory{sink: sink, services: make(map[string]map[string]membership.Member)}
}

// apply updates the directory from one membership event.
func (d *directory) apply(e membership.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := e.Current.Service
	if e.Previous != nil && e.Previous.Service != service {
		d.remove(e.Previous.Service, e.Previous.ID)
	}
	if isLive(e.Current) && service != "" {
		d.add(service, e.Current)
	} else {
		d.remove(service, e.Current.ID)
	}
}

// isLive reports whether a member counts as running. A suspect member does: calls
// to it fail soon enough if it is unreachable, and one lost packet must not remove its
// instance from the balancer's choice.
func isLive(m membership.Member) bool {
	return m.State == membership.Alive || m.State == membership.Suspect
}

// liveMembers returns the live members of a service that are not draining, whether
// or not their upstreams accept calls at the moment.
func (d *directory) liveMembers(service string) []membership.Member {
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

// applyLocal applies the local node's record, for which membership sends no event.
func (d *directory) applyLocal(m membership.Member) {
	d.mu.Lock()
	previous := d.local
	d.local = &m
	d.mu.Unlock()
	d.apply(membership.Event{Previous: previous, Current: m})
}
