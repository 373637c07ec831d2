// Package organisation holds the organisations whose callers may use the fleet, with their
// credentials, priorities and quotas, as one version of the operators' configuration states
// them. internal/routing carries a Set in each table; internal/mesh looks up the credential of
// each root request in it.
package organisation

import "github.com/mustardwing/mustardwing/internal/call"

// Organisation is one organisation. It must not change once it is in a Set.
type Organisation struct {
	// Name identifies the organisation to upstreams, in logs and in metrics.
	Name string
	// Priority precedes the priority of the route when calls compete; nil means that only the
	// route's priority counts.
	Priority *call.Priority
	// Rate is the number of root requests per second, and Burst the number beyond it, that all
	// nodes together accept. With a rate of zero there is no quota.
	Rate, Burst float64
}

// Limited reports whether the organisation has a quota.
func (o *Organisation) Limited() bool {
	return o.Rate > 0
}

// PriorityText returns the name of the organisation's priority, "none" if it has none.
func (o *Organisation) PriorityText() string {
	if o.Priority == nil {
		return "none"
	}
	return o.Priority.String()
}
