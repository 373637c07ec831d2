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

// directory turns membership events into the instances of each service.
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
	if usable(e.Current) {
		d.add(service, e.Current)
	} else {
		d.remove(service, e.Current.ID)
	}
}

// usable reports whether a member may take calls. A suspect one may: its calls
// fail soon enough if it is gone, and a lost packet must not take it out.
func usable(m membership.Member) bool {
	reachable := m.State == membership.Alive || m.State == membership.Suspect
	return reachable && m.Service != "" && m.UpstreamReady
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
		instances = append(instances, balancer.Instance{
			ID:            m.ID,
			Incarnation:   m.Incarnation,
			Region:        m.Region,
			FailureDomain: m.FailureDomain,
			PeerAddress:   m.Addresses.Peer,
			Slots:         m.Slots,
			Draining:      m.Draining,
			Ready:         m.Ready,
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
