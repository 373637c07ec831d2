package node

import (
	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// onUpstreamChange stores the upstream's state in the local node's record, which
// membership disseminates to the other nodes. Membership sends no event for that record,
// so onUpstreamChange also applies it to the directory. With a platform it starts the
// management of idempotency keys for the upstream's service. It begins upstreamDrain when
// the upstream drains and cancels it when neither the upstream nor this node drains.
func (n *Node) onUpstreamChange(s upstream.State) {
	n.members.UpdateLocal(func(m *membership.Metadata) {
		m.Service = s.Service
		m.Slots = s.Slots
		m.UpstreamReady = s.Available()
		m.Draining = s.Draining || n.callerDrain.Draining()
		m.Ready = s.ReadySince
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

// onSettingsChange notifies the upstream, the router and the manager of idempotency keys
// of a new settings revision. It also releases the settings gate, which delays calls
// until settings are in force.
func (n *Node) onSettingsChange(int64) {
	n.upstream.Reconfigure()
	n.router.Reconfigure()
	n.ownership.reconfigure(n.keySettings)
	n.gate.release()
}

// onSettingsRefused counts and logs a revision with settings objects that were refused.
func (n *Node) onSettingsRefused(err error) {
	n.telemetry.Metrics.Counter("settings_refused").Inc(1)
	n.log.Warn().Err(err).Msg("some settings objects were refused")
}
