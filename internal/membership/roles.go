package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Role is a duty that a few members of each failure domain have.
type Role string

// Roles.
const (
	RoleSeedKeeper      Role = "seed-keeper"
	RoleSettingsWatcher Role = "settings-watcher"
	RoleStatusReporter  Role = "status-reporter"
)

// holderCount is the number of members with one role in a failure domain.
const holderCount = 2

// Holders returns the members that have the role in a failure domain by this
// node's view: the two live ones with the highest rendezvous hash.
func (m *Memberlist) Holders(role Role, failureDomain string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.ranked(string(role), failureDomain, holderCount)
}

// Holds reports whether this node has the role in its own failure domain and a
// view fresh enough to act on it.
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

// DomainSize returns the number of live members of a failure domain.
func (m *Memberlist) DomainSize(failureDomain string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := 0
	if m.core.self.FailureDomain == failureDomain {
		size++
	}
	for _, e := range m.core.table.live {
		if e.FailureDomain == failureDomain {
			size++
		}
	}
	return size
}

// ranked returns the n live members of a failure domain with the highest hash.
func (c *core) ranked(key, failureDomain string, n int) []Member {
	type candidate struct {
		weight uint64
		member *Member
	}
	var best []candidate
	consider := func(m *Member) {
		if m.FailureDomain != failureDomain {
			return
		}
		best = append(best, candidate{rendezvous(key, m.ID), m})
		slices.SortFunc(best, func(a, b candidate) int {
			if a.weight > b.weight {
				return -1
			}
			return 1
		})
		best = best[:min(n, len(best))]
	}
	if c.self.State == Alive && !c.replaced {
		consider(&c.self)
	}
	for _, e := range c.table.live {
		consider(&e.Member)
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

// bucketSeed makes the random choices of two nodes with one seed differ.
func bucketSeed(id string) uint64 {
	return xxhash.Sum64String(id)
}
