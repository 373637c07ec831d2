package meshnode

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/mesh"
)

// Announce takes in what the upstream says about itself and puts it in force
// here before it returns.
func (n *Node) Announce(a mesh.Announcement, cold time.Duration) {
	n.announcing.Lock()
	defer n.announcing.Unlock()
	n.upstream.Announce(time.Now(), a)
	n.announceSelf(a, cold)
}

// Withdraw puts in force that an instance leaves which has not announced itself to
// this process: it may have been adopted, or may yet be.
func (n *Node) Withdraw(id string) {
	n.announcing.Lock()
	defer n.announcing.Unlock()
	n.withdrawn = id
	n.upstream.Withdraw(time.Now(), id)
	n.directory.UpdateSelf(func(e *directory.Entry) {
		if e.Upstream != nil && e.Upstream.ID == id && e.Upstream.State == directory.Ready {
			e.Upstream.State = directory.Draining
		}
	})
}

// announceSelf puts an announcement into this node's entry.
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

// adoptUpstream takes over the upstream that the earlier process of this node
// knew, until it announces itself again. If another instance is there by now, it
// refuses calls for this one without running them.
func (n *Node) adoptUpstream(earlier directory.Entry) {
	u := earlier.Upstream
	if u == nil || u.State != directory.Ready || u.Service != n.config.Service || earlier.Removed || n.leaving.Load() {
		return
	}
	n.announcing.Lock()
	defer n.announcing.Unlock()
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

// lostUpstream announces that the upstream cannot be reached.
func (n *Node) lostUpstream(id string) {
	n.directory.UpdateSelf(func(e *directory.Entry) {
		if e.Upstream != nil && e.Upstream.ID == id {
			e.Upstream.State = directory.Ended
		}
	})
}

// watchUpstream notices an upstream that has fallen silent.
func (n *Node) watchUpstream(ctx context.Context) {
	ticker := time.NewTicker(silenceCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.upstream.ExpireAnnouncement(now, silentBeats*n.config.Heartbeat)
		}
	}
}
