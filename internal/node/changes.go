package node

import (
	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// onUpstreamChange announces the upstream's state to the fleet, passes its service to
// the ownership of idempotency keys, and begins or cancels the drain of its calls.
// Membership sends no event for the local node's record, so onUpstreamChange applies
// that record to the directory.
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

// onSettingsChange notifies the data path and the ownership of idempotency keys of a new
// settings revision and releases the settings gate.
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
