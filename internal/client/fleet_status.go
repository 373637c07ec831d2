package client

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// staleReportAge is the age beyond which a report counts as out of date. Reporters
// write about every 10 s, less often in a failure domain of more than 200 nodes, and an
// ended reporter is replaced within seconds.
const staleReportAge = time.Minute

// FleetStatus is the result of status: the reports of the failure domains and a
// summary of the nodes' directory entries.
type FleetStatus struct {
	// Revision is the highest revision in the store.
	Revision int64          `json:"revision"`
	Domains  []DomainReport `json:"domains"`
	// Entries summarizes the directory entries that nodes write one by one, in
	// fleets whose failure domains write no reports.
	Entries []EntrySummary `json:"announced,omitempty"`
}

// DomainReport is the report of one failure domain with its age by the operator's
// clock.
type DomainReport struct {
	DomainStatus
	AgeSeconds float64 `json:"age_seconds"`
	// Stale is true for a report older than staleReportAge.
	Stale bool `json:"stale"`
}

// status reads the reports and the directory entries. A service name that is not
// empty selects one service.
func (c *Client) status(ctx context.Context, service string) (FleetStatus, error) {
	revision, err := c.latestRevision(ctx)
	if err != nil {
		return FleetStatus{}, err
	}
	listing, err := c.list(ctx, StatusPrefix)
	if err != nil {
		return FleetStatus{}, err
	}
	fleet := FleetStatus{Revision: revision, Domains: []DomainReport{}}
	for _, object := range listing.Objects {
		report, err := c.decodeReport(object)
		if err != nil {
			return FleetStatus{}, err
		}
		if service != "" {
			report.filterService(service)
		}
		fleet.Domains = append(fleet.Domains, report)
	}
	fleet.Entries, err = c.summarizeEntries(ctx, service)
	return fleet, err
}

func (c *Client) decodeReport(object platform.Object) (DomainReport, error) {
	status, err := decodeStatus(object)
	if err != nil {
		return DomainReport{}, err
	}
	age := c.Now().Sub(status.Written)
	slices.SortFunc(status.Services, func(a, b ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	return DomainReport{DomainStatus: status, AgeSeconds: age.Seconds(), Stale: age > staleReportAge}, nil
}

// filterService removes the other services and their nodes from the lists of the report.
// The counts Nodes and Omitted stay as reported.
func (r *DomainReport) filterService(service string) {
	r.Services = slices.DeleteFunc(r.Services, func(s ServiceStatus) bool { return s.Service != service })
	other := func(n NodeStatus) bool { return n.Service != service }
	r.Summaries = slices.DeleteFunc(r.Summaries, other)
	r.Unreachable = slices.DeleteFunc(r.Unreachable, other)
}

// latestRevision returns the highest version of any object of the settings tree.
func (c *Client) latestRevision(ctx context.Context) (int64, error) {
	listing, err := c.list(ctx, settings.KeyPrefix)
	if err != nil {
		return 0, err
	}
	revision := int64(0)
	for _, object := range listing.Objects {
		revision = max(revision, object.Version)
	}
	return revision, nil
}

// problems lists what keeps a revision from being in force everywhere; it is
// empty when nothing does.
func (r DomainReport) problems(revision int64) []string {
	domain := "failure domain " + r.FailureDomain
	var problems []string
	if r.Stale {
		problems = append(problems, domain+": no report since "+formatTime(r.Written))
	}
	if r.Omitted > 0 {
		problems = append(problems, fmt.Sprintf("%s: %d services did not fit into the report", domain, r.Omitted))
	}
	for _, n := range r.Unreachable {
		problems = append(problems, n.describe(domain, "is unreachable"))
	}
	for _, n := range r.Summaries {
		if n.SettingsError != "" {
			problems = append(problems, n.describe(domain, "refuses an object of the settings"))
		} else if n.SettingsRevision < revision {
			problems = append(problems, n.describe(domain, "is behind"))
		}
	}
	for _, s := range r.Services {
		problems = append(problems, s.problems(domain, revision)...)
	}
	return problems
}

// problems lists what the service's totals show to keep a revision from being in force
// at its nodes. The totals include nodes whose summaries are missing from the report.
func (s ServiceStatus) problems(domain string, revision int64) []string {
	var problems []string
	if s.Refusing > 0 {
		problems = append(problems, fmt.Sprintf("%s: %d nodes of %s refuse an object of the settings", domain, s.Refusing, orNoService(s.Service)))
	}
	if s.Nodes > 0 && s.LowestRevision < revision {
		problems = append(problems, fmt.Sprintf("%s: %s is behind, revision %d of %d", domain, orNoService(s.Service), s.LowestRevision, revision))
	}
	return problems
}

func (n NodeStatus) describe(domain, state string) string {
	text := fmt.Sprintf("%s: node %s of %s %s, revision %d", domain, n.ID, orNoService(n.Service), state, n.SettingsRevision)
	if n.SettingsError != "" {
		text += ": " + n.SettingsError
	}
	return text
}

func orNoService(service string) string {
	if service == "" {
		return "(no service)"
	}
	return service
}

// retryable reports whether wait may continue after the error.
func retryable(err error) bool {
	code := resultcode.From(err).Code
	return code == resultcode.PlatformUnavailable || code == resultcode.PlatformRateLimited
}
