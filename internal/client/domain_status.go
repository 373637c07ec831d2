package client

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// StatusPrefix is where the failure domains' reports live in the store.
const StatusPrefix = "status/"

// DomainStatus is the report of one failure domain, the object status/<domain>.
type DomainStatus struct {
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Reporter is the id of the node that wrote the report.
	Reporter  string          `json:"reporter"`
	WrittenAt time.Time       `json:"written_at"`
	Services  []ServiceStatus `json:"services"`
	// Problems lists the nodes that are not as they should be.
	Problems []NodeProblem `json:"problems"`
}

// ServiceStatus sums up a service's nodes within one failure domain. Nodes
// without an upstream have an empty service name.
type ServiceStatus struct {
	Service   string `json:"service"`
	Instances int    `json:"instances"`
	Draining  int    `json:"draining"`
	Slots     int    `json:"slots"`
	Running   int    `json:"running"`
	Queued    int    `json:"queued"`
	// Answered and Shed count calls since the nodes started, by priority from
	// background up.
	Answered [call.PriorityCount]uint64 `json:"answered"`
	Shed     [call.PriorityCount]uint64 `json:"shed"`
	// RevisionMin and RevisionMax bound the settings revisions in force at the
	// nodes that can be reached.
	RevisionMin int64 `json:"revision_min"`
	RevisionMax int64 `json:"revision_max"`
}

// States of a NodeProblem.
const (
	StateUnreachable = "unreachable"
	// StateBehind means that the node has an older settings revision than its
	// reporter.
	StateBehind = "behind"
	// StateRefused means that the node refused an object of a revision.
	StateRefused = "refused"
)

// NodeProblem is one node that needs attention.
type NodeProblem struct {
	Node    string `json:"node"`
	Service string `json:"service"`
	// State is one of the constants above.
	State string `json:"state"`
	// Revision is the last settings revision known to be in force at the node.
	Revision int64     `json:"revision"`
	Since    time.Time `json:"since"`
	// Detail is the node's own error, with its result code.
	Detail string `json:"detail"`
}

// decodeStatus takes unknown fields, which a newer reporter may add, but no
// report without its domain and time.
func decodeStatus(object platform.Object) (DomainStatus, error) {
	var status DomainStatus
	if err := json.Unmarshal(object.Value, &status); err != nil {
		return status, resultcode.Wrap(err, resultcode.PlatformMalformed, "object %q: want a status report", object.Key)
	}
	if status.FailureDomain != strings.TrimPrefix(object.Key, StatusPrefix) || status.WrittenAt.IsZero() {
		return status, resultcode.New(resultcode.PlatformMalformed,
			"object %q: failure domain %q written at %s: want the report of the domain in the key", object.Key, status.FailureDomain, status.WrittenAt)
	}
	return status, nil
}
