package meshnode

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/mesh"
	"github.com/mustardwing/mustardwing/internal/supervise"
)

// minConfirmationPause is the pause after the first health check that does not confirm an
// announcement. It doubles with each further one.
const minConfirmationPause = 200 * time.Millisecond

// pendingAnnouncement is an announcement that counts once its sender confirms it.
type pendingAnnouncement struct {
	announcement mesh.Announcement
	cold         time.Duration
}

// announcementDelay is how late an announcement of the upstream may arrive.
func (n *Node) announcementDelay() time.Duration {
	return maxMissedHeartbeats * n.config.Heartbeat
}

// needsConfirmation reports whether an announcement may have been sent before its sender left: an
// earlier process of this node may have acknowledged that, and nobody else may know. That is not so
// at the first start of the fleet, if the announcement was sent after the start of this process, which then has seen every leave since,
// or if its sender is the current upstream. announceMu must be held.
func (n *Node) needsConfirmation(a mesh.Announcement, recent bool) bool {
	if recent || a.Draining || n.config.FirstStart || time.Since(n.started) >= n.announcementDelay() {
		return false
	}
	current, known := n.upstream.Current()
	if known && current.ID == a.ID && current.Incarnation == a.Incarnation {
		return false
	}
	table := n.document.Table()
	return table == nil || n.healthPath(table) != ""
}

// awaitConfirmation keeps an announcement until its sender confirms by its health check that it
// accepts calls. announceMu must be held.
func (n *Node) awaitConfirmation(a mesh.Announcement, cold time.Duration) {
	if p := n.pending; p != nil && p.announcement.ID == a.ID && p.announcement.Incarnation == a.Incarnation {
		p.announcement = a
		return
	}
	p := &pendingAnnouncement{a, cold}
	n.pending = p
	go supervise.Once(n.config.Log, "confirmation", func() { n.confirm(p) })
}

// confirm asks the sender of an announcement until it confirms it, the announcement is no longer
// pending, or announcementDelay is over, after which the next one counts by itself.
func (n *Node) confirm(p *pendingAnnouncement) {
	for pause := minConfirmationPause; time.Since(n.started) < n.announcementDelay(); pause *= 2 {
		n.announceMu.Lock()
		over, a, path := n.pending != p, p.announcement, n.healthPath(n.document.Table())
		n.announceMu.Unlock()
		if over {
			return
		}
		if path == "" {
			// Without a configuration there are no calls either.
			pause = minConfirmationPause / 2
		} else if n.confirmed(p, a, path) {
			return
		}
		time.Sleep(pause)
	}
}

// confirmed reports whether the sender of a pending announcement confirms it, and then applies it.
func (n *Node) confirmed(p *pendingAnnouncement, a mesh.Announcement, path string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), n.config.Heartbeat)
	defer cancel()
	if err := n.upstream.CheckHealth(ctx, a, path); err != nil {
		n.config.Log.Info().Err(err).Str("instance", a.ID).Msg("announcement is not confirmed by its sender")
		return false
	}
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if n.pending == p {
		n.applyAnnouncement(p.announcement, p.cold)
	}
	return true
}

// applyAnnouncement puts an announcement in force in place of one that is pending. announceMu must
// be held.
func (n *Node) applyAnnouncement(a mesh.Announcement, cold time.Duration) {
	n.pending = nil
	n.announceSelf(n.upstream.Announce(time.Now(), a), cold)
}

// dropPending drops the pending announcement if the instance with the given id sent it. announceMu
// must be held.
func (n *Node) dropPending(id string) {
	if n.pending != nil && n.pending.announcement.ID == id {
		n.pending = nil
	}
}
