package node

import (
	"strings"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/status"
)

// summary returns the summary that this node sends to the status reporters of its
// failure domain. The node's own status.Reporter fills in the identity and the time.
func (n *Node) summary() status.Summary {
	state := n.upstream.State()
	load := n.upstream.Admission().Load()
	s := status.Summary{
		Service:          state.Service,
		Draining:         state.Draining || n.callerDrain.Draining(),
		Slots:            load.Slots,
		Running:          load.Running,
		Queued:           load.Queued,
		SettingsRevision: n.settings.holder.Revision(),
		SettingsError:    strings.Join(n.settings.refusals(), "; "),
	}
	for p := range call.PriorityCount {
		s.Answered[p], s.Shed[p] = n.callCounts.Answered(call.Priority(p)), n.callCounts.Shed(call.Priority(p))
	}
	return s
}
