package meshnode

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/mesh"
	"github.com/mustardwing/mustardwing/internal/routing"
	"github.com/mustardwing/mustardwing/internal/supervise"
)

// noteEarlierEntry applies the entry of an earlier process of this node, from the store or from a
// peer. Either may hold an older one than the last: a store that was unavailable, a peer that was
// partitioned. So a leave in any of them counts, and a ready upstream only if it confirms that.
func (n *Node) noteEarlierEntry(earlier directory.Entry) {
	switch u := earlier.Upstream; {
	case u == nil:
	case u.State == directory.Draining:
		n.noteLeft(*u)
	case u.State == directory.Ready && !earlier.Removed:
		n.announceMu.Lock()
		if earlier.Version > n.candidateVersion {
			n.candidate, n.candidateVersion = &earlier, earlier.Version
		}
		n.announceMu.Unlock()
		n.considerAdoption()
	}
}

// noteLeft records an upstream that an earlier process of this node has seen leaving, and drains
// it if it has announced itself since, which a delayed message can do.
func (n *Node) noteLeft(u directory.Upstream) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if u.Incarnation >= n.drainedBefore.Incarnation {
		n.drainedBefore = u
	}
	if p := n.pending; p != nil && n.leftBefore(p.announcement.ID, p.announcement.Incarnation) {
		n.pending = nil
	}
	if a, announced := n.upstream.Current(); announced && !a.Draining && n.leftBefore(a.ID, a.Incarnation) {
		n.config.Log.Info().Str("instance", u.ID).Msg("upstream left before the restart of this node; draining it")
		n.upstream.Withdraw(time.Now(), u.ID)
		n.markDraining(u.ID)
	}
}

// leftBefore reports whether an earlier process of this node has seen an incarnation leaving.
// announceMu must be held.
func (n *Node) leftBefore(id string, incarnation int64) bool {
	return incarnation != 0 && n.drainedBefore.ID == id && n.drainedBefore.Incarnation == incarnation
}

// considerAdoption begins the adoption of the candidate once the configuration says how to check
// its health.
func (n *Node) considerAdoption() {
	path := n.healthPath(n.document.Table())
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if n.candidate == nil || path == "" {
		return
	}
	candidate := *n.candidate
	n.candidate = nil
	if n.mayAdopt(*candidate.Upstream) {
		go supervise.Once(n.config.Log, "adoption", func() { n.adopt(candidate, path) })
	}
}

// healthPath returns the path of the upstream's health check, empty if it is not known.
func (n *Node) healthPath(table *routing.Table) string {
	if table == nil {
		return ""
	}
	return table.HealthPaths[n.config.Service]
}

// mayAdopt reports whether nothing that this process knows speaks against the adoption of an
// upstream. announceMu must be held.
func (n *Node) mayAdopt(u directory.Upstream) bool {
	_, announced := n.upstream.Current()
	return !announced && !n.leaving.Load() && u.Service == n.config.Service && u.ID != n.withdrawn && !n.leftBefore(u.ID, u.Incarnation)
}

// adopt takes calls for the upstream of an earlier process until it announces itself, if the
// upstream confirms that it still accepts them. Without a confirmation its next announcement
// decides.
func (n *Node) adopt(earlier directory.Entry, healthPath string) {
	u := earlier.Upstream
	a := mesh.Announcement{ID: u.ID, Incarnation: u.Incarnation, Service: u.Service, Address: n.config.UpstreamAddress, Slots: u.Slots}
	ctx, cancel := context.WithTimeout(context.Background(), n.config.Heartbeat)
	defer cancel()
	log := n.config.Log.With().Str("instance", u.ID).Uint64("version", earlier.Version).Logger()
	if err := n.upstream.CheckHealth(ctx, a, healthPath); err != nil {
		log.Info().Err(err).Msg("upstream of the earlier process not adopted")
		return
	}
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if !n.mayAdopt(*u) || !n.upstream.Adopt(time.Now(), a) {
		return
	}
	log.Info().Msg("upstream of the earlier process adopted")
	n.announceSelf(a, 0)
}
