package mesh

import (
	"slices"
	"strings"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/directory"
)

// serviceInstances holds the entries of the nodes whose upstreams belong to one service.
type serviceInstances struct {
	// byNode holds the entries, also those whose upstream takes no calls.
	byNode map[string]directory.Entry
	// changed is set when the balancer of the service does not have the present instances.
	changed bool
}

func newServiceInstances() *serviceInstances {
	return &serviceInstances{byNode: make(map[string]directory.Entry), changed: true}
}

func (s *serviceInstances) put(e directory.Entry) {
	s.byNode[e.Node] = e
	s.changed = true
}

func (s *serviceInstances) remove(node string) {
	delete(s.byNode, node)
	s.changed = true
}

// startOf returns when an upstream started, in Unix milliseconds, zero if it is not known.
func startOf(u *directory.Upstream) uint64 {
	return uint64(max(0, u.Incarnation))
}

// list returns the instances that take calls, sorted by node, without those that leave. Of two
// entries with the same instance id the one with the later start counts, or else the one that was
// learned first, since an instance is at one address only.
func (s *serviceInstances) list(leaves func(*directory.Upstream) bool) []balancer.Instance {
	chosen := make(map[string]directory.Entry, len(s.byNode))
	for _, e := range s.byNode {
		if !e.Serves() || leaves(e.Upstream) {
			continue
		}
		if other, ok := chosen[e.Upstream.ID]; !ok || precedes(e, other) {
			chosen[e.Upstream.ID] = e
		}
	}
	entries := make([]directory.Entry, 0, len(chosen))
	for _, e := range chosen {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b directory.Entry) int { return strings.Compare(a.Node, b.Node) })
	instances := make([]balancer.Instance, 0, len(entries))
	for _, e := range entries {
		// The mesh sets no balancer.Config.RampUp, so ReadySince only serves the age of the
		// entry in log lines.
		instances = append(instances, balancer.Instance{
			ID: e.Upstream.ID, Incarnation: startOf(e.Upstream), Region: e.Region, FailureDomain: e.FailureDomain,
			PeerAddress: e.Address, Slots: e.Upstream.Slots, ReadySince: e.Learned,
		})
	}
	return instances
}

// precedes reports whether a counts and not b, which has the same instance id.
func precedes(a, b directory.Entry) bool {
	if a.Upstream.Incarnation != b.Upstream.Incarnation {
		return a.Upstream.Incarnation > b.Upstream.Incarnation
	}
	if !a.Learned.Equal(b.Learned) {
		return a.Learned.Before(b.Learned)
	}
	return a.Node < b.Node
}
