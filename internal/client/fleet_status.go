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

// staleReport is the age from which a report no longer says how things are.
// Reporters write every 10 s, and a lost reporter is replaced within seconds.
const staleReport = time.Minute

// FleetStatus is what the failure domains report and nodes announce.
type FleetStatus struct {
	// Revision is the highest one in the store.
	Revision int64          `json:"revision"`
	Domains  []DomainReport `json:"domains"`
	// Announced holds the nodes that announce themselves one by one, in fleets whose
	// failure domains write no reports.
	Announced []AnnouncedGroup `json:"announced,omitempty"`
}

// DomainReport is one domain's report with its age on the operator's clock.
type DomainReport struct {
	DomainStatus
	AgeSeconds float64 `json:"age_seconds"`
	Stale      bool    `json:"stale"`
}

// status reads the reports. A service name selects one service.
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
		report, err := c.report(object)
		if err != nil {
			return FleetStatus{}, err
		}
		if service != "" {
			report.only(service)
		}
		fleet.Domains = append(fleet.Domains, report)
	}
	fleet.Announced, err = c.announced(ctx, service)
	return fleet, err
}

func (c *Client) report(object platform.Object) (DomainReport, error) {
	status, err := decodeStatus(object)
	if err != nil {
		return DomainReport{}, err
	}
	age := c.Now().Sub(status.Written)
	slices.SortFunc(status.Services, func(a, b ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	return DomainReport{DomainStatus: status, AgeSeconds: age.Seconds(), Stale: age > staleReport}, nil
}

func (r *DomainReport) only(service string) {
	r.Services = slices.DeleteFunc(r.Services, func(s ServiceStatus) bool { return s.Service != service })
	other := func(n NodeStatus) bool { return n.Service != service }
	r.Summaries = slices.DeleteFunc(r.Summaries, other)
	r.Unreachable = slices.DeleteFunc(r.Unreachable, other)
}

// latestRevision is the highest version of an object of the settings tree.
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

// missing lists what keeps a revision from being in force everywhere, empty when
// nothing does.
func (r DomainReport) missing(revision int64) []string {
	domain := "failure domain " + r.FailureDomain
	var missing []string
	if r.Stale {
		missing = append(missing, domain+": no report since "+showTime(r.Written))
	}
	if r.Omitted > 0 {
		missing = append(missing, fmt.Sprintf("%s: %d services did not fit into the report", domain, r.Omitted))
	}
	for _, n := range r.Unreachable {
		missing = append(missing, n.describe(domain, "is unreachable"))
	}
	for _, n := range r.Summaries {
		if n.SettingsError != "" {
			missing = append(missing, n.describe(domain, "refuses an object of the settings"))
		} else if n.SettingsRevision < revision {
			missing = append(missing, n.describe(domain, "is behind"))
		}
	}
	for _, s := range r.Services {
		missing = append(missing, s.missing(domain, revision)...)
	}
	return missing
}

// missing is for nodes whose summaries may not be in the report.
func (s ServiceStatus) missing(domain string, revision int64) []string {
	var missing []string
	if s.Refusing > 0 {
		missing = append(missing, fmt.Sprintf("%s: %d nodes of %s refuse an object of the settings", domain, s.Refusing, orNoService(s.Service)))
	}
	if s.Nodes > 0 && s.LowestRevision < revision {
		missing = append(missing, fmt.Sprintf("%s: %s is behind, revision %d of %d", domain, orNoService(s.Service), s.LowestRevision, revision))
	}
	return missing
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

// retryable tells whether a command that waits may go on after the error.
func retryable(err error) bool {
	code := resultcode.From(err).Code
	return code == resultcode.PlatformUnavailable || code == resultcode.PlatformRateLimited
}
