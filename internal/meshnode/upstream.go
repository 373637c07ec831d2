package meshnode

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/mesh"
)

// Announce applies an announcement of the upstream to this node and its entry before it returns,
// or once the upstream confirms it if it may have been sent before the upstream left. cold is the
// remaining time of the instance's slow start; it counts only in the first announcement of an
// instance that was not adopted. recent is set if the announcement is known to have been sent after
// the start of this process.
func (n *Node) Announce(a mesh.Announcement, cold time.Duration, recent bool) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	a.Draining = a.Draining || n.leftBefore(a.ID, a.Incarnation)
	if n.needsConfirmation(a, recent) {
		n.awaitConfirmation(a, cold)
		return
	}
	n.applyAnnouncement(a, cold)
}

// Withdraw marks an instance as draining that may not have announced itself since this node
// started. If it was adopted, it gets no more calls after the drain grace period; if not, it is
// not adopted later. A later incarnation than the given one is left alone; with zero there is none.
func (n *Node) Withdraw(id string, incarnation int64) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if a, known := n.upstream.Current(); known && a.ID == id && incarnation != 0 && a.Incarnation > incarnation {
		return
	}
	n.withdrawn = id
	n.dropPending(id)
	n.upstream.Withdraw(time.Now(), id)
	n.markDraining(id)
}

// markUpstreamLeaving sets the state of an upstream that has stated in a response that it
// leaves in this node's entry.
func (n *Node) markUpstreamLeaving(id string) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	n.markDraining(id)
}

// markDraining sets the state of a ready upstream in this node's entry.
func (n *Node) markDraining(id string) {
	n.directory.UpdateSelf(func(e *directory.Entry) {
		if e.Upstream != nil && e.Upstream.ID == id && e.Upstream.State == directory.Ready {
			e.Upstream.State = directory.Draining
		}
	})
}

// announceSelf stores an announcement in this node's entry. announceMu must be held.
func (n *Node) announceSelf(a mesh.Announcement, cold time.Duration) {
	n.directory.UpdateSelf(func(e *directory.Entry) {
		state := directory.Ready
		if a.Draining {
			state = directory.Draining
		}
		next := directory.Upstream{ID: a.ID, Incarnation: a.Incarnation, Service: a.Service, Slots: a.Slots, State: state}
		if e.Upstream != nil && e.Upstream.ID == a.ID {
			next.ColdMs = e.Upstream.ColdMs
		} else {
			next.ColdMs = cold.Milliseconds()
		}
		e.Upstream = &next
	})
}

// markUpstreamUnreachable sets the upstream's state in this node's entry, so that
// other nodes learn that it is unreachable.
func (n *Node) markUpstreamUnreachable(id string) {
	n.directory.UpdateSelf(func(e *directory.Entry) {
		if e.Upstream != nil && e.Upstream.ID == id {
			e.Upstream.State = directory.Unreachable
		}
	})
}

// watchUpstream marks an upstream that no longer announces itself as unreachable, until
// ctx ends.
func (n *Node) watchUpstream(ctx context.Context) {
	ticker := time.NewTicker(heartbeatCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.upstream.ExpireAnnouncement(now, n.announcementDelay())
			n.upstream.ReportCapacity()
			if age, known := n.document.ConfirmedAge(now); known {
				n.configAge.Update(age.Seconds())
			}
		}
	}
}
