package client

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// StatusPrefix is the key prefix of the failure domains' reports in the store.
const StatusPrefix = "status/"

// DomainStatus is the report of one failure domain, the object status/<domain>.
type DomainStatus struct {
	FailureDomain string `json:"failure_domain"`
	// Reporter is the ID of the node that wrote the report, Written the time by that
	// node's wall clock.
	Reporter string    `json:"reporter"`
	Written  time.Time `json:"written"`
	// Nodes is the number of nodes summed up in Services.
	Nodes    int             `json:"nodes"`
	Services []ServiceStatus `json:"services"`
	// Summaries holds the summaries of single nodes as far as they fit into an
	// object.
	Summaries []NodeStatus `json:"summaries"`
	// Unreachable lists the nodes that cannot be contacted from the failure domain. The
	// reports of package status do not contain this list.
	Unreachable []NodeStatus `json:"unreachable,omitempty"`
	// Omitted is the number of services left out because the report would exceed its
	// size limit.
	Omitted int `json:"omitted,omitempty"`
}

// ServiceStatus sums up a service's nodes within one failure domain. Nodes
// without an upstream have an empty service name.
type ServiceStatus struct {
	Service string `json:"service"`
	Nodes   int    `json:"nodes"`
	// Draining is the number of nodes that drain.
	Draining int `json:"draining"`
	Slots    int `json:"slots"`
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	// LowestRevision and HighestRevision are the lowest and the highest settings revision
	// in force at any of the nodes.
	LowestRevision  int64 `json:"lowest_revision"`
	HighestRevision int64 `json:"highest_revision"`
	// Refusing is the number of nodes that refuse settings objects.
	Refusing int `json:"refusing"`
	// Answered and Shed count the calls to which the upstreams responded and the
	// calls that were shed since the nodes started, by priority from background up.
	Answered [call.PriorityCount]uint64 `json:"answered"`
	Shed     [call.PriorityCount]uint64 `json:"shed"`
}

// NodeStatus holds the fields of a node's summary that the client uses.
type NodeStatus struct {
	ID               string `json:"id"`
	Service          string `json:"service,omitempty"`
	SettingsRevision int64  `json:"settings_revision"`
	// SettingsError lists the settings objects that the node refuses, with the reasons;
	// empty when it refuses none.
	SettingsError string    `json:"settings_error,omitempty"`
	Sent          time.Time `json:"sent"`
}

// decodeStatus decodes a report. It ignores unknown fields, which a newer reporter may
// add, and returns a PlatformMalformed error for a report without a time or of another
// failure domain than that of its key.
func decodeStatus(object platform.Object) (DomainStatus, error) {
	var status DomainStatus
	if err := json.Unmarshal(object.Value, &status); err != nil {
		return status, resultcode.Wrap(err, resultcode.PlatformMalformed, "object %q: want a status report", object.Key)
	}
	if status.FailureDomain != strings.TrimPrefix(object.Key, StatusPrefix) || status.Written.IsZero() {
		return status, resultcode.New(resultcode.PlatformMalformed,
			"object %q: failure domain %q written at %s: want the report of the domain in the key", object.Key, status.FailureDomain, status.Written)
	}
	return status, nil
}
