package meshnode

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/mesh"
)

// Announce applies an announcement of the upstream on this node before it
// returns.
func (n *Node) Announce(a mesh.Announcement, cold time.Duration) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	n.upstream.Announce(time.Now(), a)
	n.announceSelf(a, cold)
}

// Withdraw marks an instance as draining that has not announced itself to this
// process: it may have been adopted, or may yet be.
func (n *Node) Withdraw(id string) {
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	n.withdrawn = id
	n.upstream.Withdraw(time.Now(), id)
	n.directory.UpdateSelf(func(e *directory.Entry) {
		if e.Upstream != nil && e.Upstream.ID == id && e.Upstream.State == directory.Ready {
			e.Upstream.State = directory.Draining
		}
	})
}

// announceSelf stores an announcement in this node's entry.
func (n *Node) announceSelf(a mesh.Announcement, cold time.Duration) {
	n.directory.UpdateSelf(func(e *directory.Entry) {
		state := directory.Ready
		if a.Draining {
			state = directory.Draining
		}
		next := directory.Upstream{ID: a.ID, Service: a.Service, Slots: a.Slots, State: state}
		if e.Upstream != nil && e.Upstream.ID == a.ID {
			next.ColdMs = e.Upstream.ColdMs
		} else {
			next.ColdMs = cold.Milliseconds()
		}
		e.Upstream = &next
	})
}

// adoptUpstream adopts the upstream that the earlier process of this node knew,
// until the upstream announces itself again. If another instance has its
// address by now, that instance refuses calls for the adopted one without
// running them.
func (n *Node) adoptUpstream(earlier directory.Entry) {
	u := earlier.Upstream
	if u == nil || u.State != directory.Ready || u.Service != n.config.Service || earlier.Removed || n.leaving.Load() {
		return
	}
	n.announceMu.Lock()
	defer n.announceMu.Unlock()
	if u.ID == n.withdrawn {
		return
	}
	a := mesh.Announcement{ID: u.ID, Service: u.Service, Address: n.config.UpstreamAddress, Slots: u.Slots}
	if !n.upstream.Adopt(time.Now(), a) {
		return
	}
	n.config.Log.Info().Str("instance", u.ID).Uint64("version", earlier.Version).Msg("upstream of the earlier process adopted")
	n.announceSelf(a, 0)
}

// markUpstreamUnreachable sets the upstream's state in this node's entry, so that
// other nodes learn that it is unreachable.
func (n *Node) markUpstreamUnreachable(id string) {
	n.directory.UpdateSelf(func(e *directory.Entry) {
		if e.Upstream != nil && e.Upstream.ID == id {
			e.Upstream.State = directory.Ended
		}
	})
}

// watchUpstream detects an upstream that no longer announces itself.
func (n *Node) watchUpstream(ctx context.Context) {
	ticker := time.NewTicker(heartbeatCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.upstream.ExpireAnnouncement(now, maxMissedHeartbeats*n.config.Heartbeat)
		}
	}
}
