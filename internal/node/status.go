package node

import (
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/admission"
)

// Status is the node's own status as the admin listener returns it.
type Status struct {
	ID            string    `json:"id"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	Addresses     Addresses `json:"addresses"`
	// Service is the service that the upstream announced; empty while none is announced.
	Service string `json:"service"`
	// Available is true while the local upstream is announced, ready and reachable.
	Available bool `json:"available"`
	// Draining is true while the upstream or the node itself drains.
	Draining bool           `json:"draining"`
	Load     admission.Load `json:"load"`
	// Members is the number of records in the member table, which keeps those of dead
	// and left members until their tombstones expire.
	Members int `json:"members"`
	// SettingsRevision is the revision in force; 0 means the built-in defaults.
	SettingsRevision int64 `json:"settings_revision"`
	// SettingsRefused has one line for each object whose newest state is refused.
	SettingsRefused []string `json:"settings_refused,omitempty"`
}

func (n *Node) status() any {
	state := n.upstream.State()
	return Status{
		ID:               n.config.NodeID,
		Region:           n.config.Region,
		FailureDomain:    n.config.FailureDomain,
		Addresses:        n.Addresses(),
		Service:          state.Service,
		Available:        state.Available(),
		Draining:         state.Draining || n.callerDrain.Draining(),
		Load:             n.upstream.Admission().Load(),
		Members:          len(n.members.Members()),
		SettingsRevision: n.settings.holder.Revision(),
		SettingsRefused:  n.settings.refusals(),
	}
}

// memberView is one member as the admin listener returns it. The JSON names are
// those of the fields.
type memberView struct {
	ID            string
	Incarnation   uint64
	State         string
	Peer          string
	Region        string
	FailureDomain string
	Service       string
	Slots         int
	UpstreamReady bool
	Draining      bool
	// Ready is when the upstream became available; zero while it is not.
	Ready            time.Time
	SettingsRevision int64
}

func (n *Node) membersView() any {
	members := n.members.Members()
	view := make([]memberView, 0, len(members))
	for _, m := range members {
		view = append(view, memberView{
			ID: m.ID, Incarnation: m.Incarnation, State: m.State.String(), Peer: m.Addresses.Peer,
			Region: m.Region, FailureDomain: m.FailureDomain, Service: m.Service, Slots: m.Slots,
			UpstreamReady: m.UpstreamReady, Draining: m.Draining, Ready: m.Ready, SettingsRevision: m.SettingsRevision,
		})
	}
	return view
}

// ready is the readiness check of the admin listener. It returns nil from the release of
// the settings gate until the shutdown begins, and otherwise the reason why the node is
// not ready. Before the release calls are delayed; after the shutdown has begun they are
// still accepted for drain.GracePeriod.
func (n *Node) ready() error {
	if n.callerDrain.Draining() {
		return errors.New("the node is shutting down")
	}
	if !n.gate.released() {
		return errors.New("no settings are in force yet")
	}
	return nil
}
