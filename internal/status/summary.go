package status

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// Prefix is the key prefix of the reports in the platform's store, one object per
// failure domain.
const Prefix = "status/"

// PriorityCount is the number of priority classes in the counters, from background
// to critical.
const PriorityCount = 4

// Summary is one node's status. Answered counts the calls to which the upstream
// responded and Shed those that the node shed, both since the node's start and by
// priority.
type Summary struct {
	ID               string `json:"id"`
	Service          string `json:"service,omitempty"`
	Region           string `json:"region"`
	FailureDomain    string `json:"failure_domain"`
	Draining         bool   `json:"draining,omitempty"`
	Slots            int    `json:"slots"`
	Running          int    `json:"running"`
	Queued           int    `json:"queued"`
	SettingsRevision int64  `json:"settings_revision"`
	// SettingsError lists the settings objects that the node refuses, with the reasons;
	// empty when it refuses none.
	SettingsError string                `json:"settings_error,omitempty"`
	Answered      [PriorityCount]uint64 `json:"answered"`
	Shed          [PriorityCount]uint64 `json:"shed"`
	// Sent is when the node created the summary, by its own wall clock.
	Sent time.Time `json:"sent"`
}

// ServiceTotals sums up the nodes of one service in a failure domain.
type ServiceTotals struct {
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
	Refusing int                   `json:"refusing"`
	Answered [PriorityCount]uint64 `json:"answered"`
	Shed     [PriorityCount]uint64 `json:"shed"`
}

// DomainReport is the report of one failure domain.
type DomainReport struct {
	FailureDomain string `json:"failure_domain"`
	// Reporter is the ID of the node that wrote the report, and Written the time by that
	// node's wall clock.
	Reporter string    `json:"reporter"`
	Written  time.Time `json:"written"`
	// Nodes is the number of nodes summed up in Services.
	Nodes    int             `json:"nodes"`
	Services []ServiceTotals `json:"services"`
	// Summaries holds the summaries of single nodes as far as they fit: all of them in a
	// small failure domain, otherwise those with a settings error before the others.
	Summaries []Summary `json:"summaries"`
	// Omitted is the number of services left out because the report would exceed its
	// size limit.
	Omitted int `json:"omitted,omitempty"`
}

func toProto(s Summary) *peerv1.StatusSummary {
	return &peerv1.StatusSummary{
		Id: s.ID, Service: s.Service, Region: s.Region, FailureDomain: s.FailureDomain,
		Draining: s.Draining, Slots: uint32(s.Slots), Running: uint32(s.Running), Queued: uint32(s.Queued),
		SettingsRevision: s.SettingsRevision, SettingsError: s.SettingsError,
		Answered: s.Answered[:], Shed: s.Shed[:], SentUnixMs: s.Sent.UnixMilli(),
	}
}

func fromProto(p *peerv1.StatusSummary) Summary {
	s := Summary{
		ID: p.Id, Service: p.Service, Region: p.Region, FailureDomain: p.FailureDomain,
		Draining: p.Draining, Slots: int(p.Slots), Running: int(p.Running), Queued: int(p.Queued),
		SettingsRevision: p.SettingsRevision, SettingsError: p.SettingsError,
		Sent: time.UnixMilli(p.SentUnixMs),
	}
	copy(s.Answered[:], p.Answered)
	copy(s.Shed[:], p.Shed)
	return s
}
