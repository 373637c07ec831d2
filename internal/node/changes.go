package node

import (
	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// onUpstreamChange announces the upstream's state to the fleet. Membership sends no
// event for the local node's record, so it is applied to the directory directly.
func (n *Node) onUpstreamChange(s upstream.State) {
	n.members.UpdateLocal(func(a *membership.Metadata) {
		a.Service = s.Service
		a.Slots = s.Slots
		a.UpstreamReady = s.Available()
		a.Draining = s.Draining || n.callerDrain.Draining()
		a.Ready = s.ReadySince
	})
	n.directory.applyLocal(n.members.Self())
	if n.store != nil {
		n.ownership.setService(s.Service)
	}
	switch {
	case s.Draining:
		n.upstreamDrain.Begin()
	case !n.callerDrain.Draining():
		n.upstreamDrain.Cancel()
	}
}

// onSettingsChange notifies the data path of a new settings revision and releases
// the settings gate.
func (n *Node) onSettingsChange(int64) {
	n.upstream.Reconfigure()
	n.router.Reconfigure()
	n.ownership.reconfigure(n.keySettings)
	n.gate.release()
}

// onSettingsRefused counts and logs settings objects that cannot be applied.
func (n *Node) onSettingsRefused(err error) {
	n.telemetry.Metrics.Counter("settings_refused").Inc(1)
	n.log.Warn().Err(err).Msg("some settings objects were refused")
}
