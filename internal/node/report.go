package node

import (
	"strings"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/status"
)

// summary is what this node reports to its failure domain's reporters.
func (n *Node) summary() status.Summary {
	state := n.upstream.State()
	load := n.upstream.Admission().Load()
	s := status.Summary{
		Service:          state.Service,
		Draining:         state.Draining || n.callers.Draining(),
		Slots:            load.Slots,
		Running:          load.Running,
		Queued:           load.Queued,
		SettingsRevision: n.settings.holder.Revision(),
		SettingsError:    strings.Join(n.settings.refusals(), "; "),
	}
	for p := range call.PriorityCount {
		s.Answered[p], s.Shed[p] = n.calls.Answered(call.Priority(p)), n.calls.Shed(call.Priority(p))
	}
	return s
}
