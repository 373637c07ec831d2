package client

import (
	"context"
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

// FleetStatus is what all failure domains report.
type FleetStatus struct {
	// Revision is the highest one in the store.
	Revision int64          `json:"revision"`
	Domains  []DomainReport `json:"domains"`
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
	return fleet, nil
}

func (c *Client) report(object platform.Object) (DomainReport, error) {
	status, err := decodeStatus(object)
	if err != nil {
		return DomainReport{}, err
	}
	age := c.Now().Sub(status.WrittenAt)
	slices.SortFunc(status.Services, func(a, b ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	return DomainReport{DomainStatus: status, AgeSeconds: age.Seconds(), Stale: age > staleReport}, nil
}

func (r *DomainReport) only(service string) {
	r.Services = slices.DeleteFunc(r.Services, func(s ServiceStatus) bool { return s.Service != service })
	r.Problems = slices.DeleteFunc(r.Problems, func(p NodeProblem) bool { return p.Service != service })
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
		missing = append(missing, domain+": no report since "+showTime(r.WrittenAt))
	}
	for _, s := range r.Services {
		if s.Instances > 0 && s.RevisionMin < revision {
			missing = append(missing, domain+": a node of "+orNoService(s.Service)+" has revision "+showRevision(s.RevisionMin))
		}
	}
	for _, p := range r.Problems {
		if p.State == StateRefused || p.Revision < revision {
			missing = append(missing, p.describe(domain))
		}
	}
	return missing
}

func (p NodeProblem) describe(domain string) string {
	text := domain + ": node " + p.Node + " of " + orNoService(p.Service) + " " + p.stateText() + ", revision " + showRevision(p.Revision)
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return text
}

func (p NodeProblem) stateText() string {
	if p.State == StateRefused {
		return "refuses an object of the settings"
	}
	return "is " + p.State
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
