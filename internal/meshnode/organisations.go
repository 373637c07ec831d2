package meshnode

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/organisation"
	"github.com/mustardwing/mustardwing/internal/routing"
)

const (
	// maxAuditLines bounds the log lines about one version's changes of the organisations.
	maxAuditLines = 50
	// maxListedOrganisations bounds the organisations in the status of a node.
	maxListedOrganisations = 1000
)

// organisationAudit logs how each version of the configuration changes the organisations. It is safe
// for concurrent use.
type organisationAudit struct {
	log zerolog.Logger

	mu sync.Mutex
	// last is the latest table, nil before the first one.
	last *routing.Table
}

// newOrganisationAudit returns an audit whose lines no sampler drops, since they are bounded.
func newOrganisationAudit(log zerolog.Logger) *organisationAudit {
	return &organisationAudit{log: log.Sample(nil)}
}

// apply logs the changes since the latest table, or, for the first one, how many organisations there
// are. Tables may arrive out of order; older ones are ignored.
func (a *organisationAudit) apply(table *routing.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.last
	if last != nil && last.Version >= table.Version {
		return
	}
	a.last = table
	if last == nil {
		if table.Organisations.Required() {
			a.log.Info().Uint64("version", table.Version).Int("organisations", len(table.Organisations.Summaries())).Msg("callers need credentials")
		}
		return
	}
	changes := organisation.Compare(last.Organisations, table.Organisations)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes[:min(len(changes), maxAuditLines)] {
		line := a.log.Info().Uint64("version", table.Version).Str("change", string(c.Kind)).Str("organisation", c.Organisation)
		if c.Fingerprint != "" {
			line = line.Str("credential", c.Fingerprint)
		}
		if c.Before != c.After {
			line = line.Str("before", c.Before).Str("after", c.After)
		}
		line.Msg("organisation changed")
	}
	a.log.Info().Uint64("version", table.Version).Uint64("since", last.Version).Int("changes", len(changes)).Int("logged", min(len(changes), maxAuditLines)).
		Bool("credentials_needed", table.Organisations.Required()).Msg("organisations changed")
}

// organisationStatus is an organisation as the status of a node shows it.
type organisationStatus struct {
	Name        string  `json:"name"`
	Credentials int     `json:"credentials"`
	Priority    string  `json:"priority"`
	Rate        float64 `json:"rate_per_second,omitempty"`
	Burst       float64 `json:"burst,omitempty"`
}

// organisationStatuses returns the organisations of the configuration in force, at most
// maxListedOrganisations, and their number.
func (n *Node) organisationStatuses() (list []organisationStatus, total int) {
	table := n.document.Table()
	if table == nil {
		return nil, 0
	}
	summaries := table.Organisations.Summaries()
	for _, s := range summaries[:min(len(summaries), maxListedOrganisations)] {
		list = append(list, organisationStatus{Name: s.Name, Credentials: s.Credentials, Priority: s.PriorityText(), Rate: s.Rate, Burst: s.Burst})
	}
	return list, len(summaries)
}
