package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Role is a task that a few members of each failure domain perform.
type Role string

const (
	// RoleSeedKeeper is the role of updating the seed object of the failure domain.
	RoleSeedKeeper Role = "seed-keeper"
	// RoleSettingsWatcher is the role of watching the settings in the store.
	RoleSettingsWatcher Role = "settings-watcher"
	// RoleStatusReporter is the role of writing the status report of the failure
	// domain to the store.
	RoleStatusReporter Role = "status-reporter"
)

// holdersPerDomain is the number of members of a failure domain that hold a role at the
// same time.
const holdersPerDomain = 2

// Holders returns the members that hold the role in a failure domain in the view of the
// local node: the two live members with the highest rendezvous hash.
func (m *Memberlist) Holders(role Role, failureDomain string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.topByHash(string(role), failureDomain, holdersPerDomain)
}

// Holds reports whether the local node holds the role in its failure domain and its
// view is fresh, so that it may act in the role.
func (m *Memberlist) Holds(role Role) bool {
	if !m.Fresh() {
		return false
	}
	for _, holder := range m.Holders(role, m.cfg.FailureDomain) {
		if holder.ID == m.cfg.ID {
			return true
		}
	}
	return false
}

// DomainSize returns the number of live members of a failure domain, including the local
// node if it is in that failure domain.
func (m *Memberlist) DomainSize(failureDomain string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := 0
	if m.core.self.FailureDomain == failureDomain {
		size++
	}
	for _, r := range m.core.table.live {
		if r.FailureDomain == failureDomain {
			size++
		}
	}
	return size
}

// topByHash returns up to n live members of a failure domain, those with the highest
// rendezvous hash for key, highest first. The local node is left out once it leaves or
// has been replaced.
func (c *core) topByHash(key, failureDomain string, n int) []Member {
	type candidate struct {
		hash   uint64
		member *Member
	}
	var best []candidate
	consider := func(m *Member) {
		if m.FailureDomain != failureDomain {
			return
		}
		best = append(best, candidate{rendezvous(key, m.ID), m})
		slices.SortFunc(best, func(a, b candidate) int {
			if a.hash > b.hash {
				return -1
			}
			return 1
		})
		best = best[:min(n, len(best))]
	}
	if c.self.State == Alive && !c.replaced {
		consider(&c.self)
	}
	for _, r := range c.table.live {
		consider(&r.Member)
	}
	members := make([]Member, 0, len(best))
	for _, b := range best {
		members = append(members, *b.member)
	}
	return members
}

func rendezvous(key, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// idSeed derives a random seed from a node ID, so that nodes with the same RandomSeed
// make different choices.
func idSeed(id string) uint64 {
	return xxhash.Sum64String(id)
}
