package node

import (
	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// upstreamChanged announces the upstream's state to the fleet. The node's own
// record does not come back as an event, so the directory is told directly.
func (n *Node) upstreamChanged(s upstream.State) {
	n.members.UpdateLocal(func(a *membership.Metadata) {
		a.Service = s.Service
		a.Slots = s.Slots
		a.UpstreamReady = s.Available()
		a.Draining = s.Draining || n.callers.Draining()
		a.Ready = s.ReadySince
	})
	n.directory.applyOwn(n.members.Self())
	if n.store != nil {
		n.ownership.follow(s.Service)
	}
	switch {
	case s.Draining:
		n.work.Begin()
	case !n.callers.Draining():
		n.work.Cancel()
	}
}

// settingsChanged brings a new revision of the settings to the data path.
func (n *Node) settingsChanged(int64) {
	n.upstream.Reconfigure()
	n.router.Reconfigure()
	n.ownership.reconfigure(n.keySettings)
	n.gate.release()
}

// settingsRefused reports objects of the settings that cannot be applied.
func (n *Node) settingsRefused(err error) {
	n.telemetry.Metrics.Counter("settings_refused").Inc(1)
	n.log.Warn().Err(err).Msg("settings refused in part")
}
