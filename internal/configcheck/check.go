// Package configcheck examines a configuration before it is sent: what cannot work, what never has
// an effect, which limits contradict each other, and what differs from the version in force. The
// command-line client calls it; the nodes' own decoder comes first, so that both judge alike. It
// does no I/O.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/routing"
)

// Check returns the findings for a table that the nodes accept, errors first.
func Check(table *routing.Table) []Finding {
	c := &checker{table: table}
	c.checkLimits()
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return strings.Compare(string(a.Severity), string(b.Severity)) })
	return c.findings
}

// checker collects the findings for one table.
type checker struct {
	table    *routing.Table
	findings []Finding
}

func (c *checker) add(severity Severity, where, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Where: where, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) checkLimits() {
	l := c.table.Limits
	if l.HeaderTimeout > l.IdleTimeout {
		c.add(Warning, "limits", "the header timeout %s exceeds the idle timeout %s, after which the connection is closed", l.HeaderTimeout, l.IdleTimeout)
	}
}

// routeLabel names a route by what it matches, since names need not be unique.
func routeLabel(r *routing.Route) string {
	return fmt.Sprintf("route %q (%s%s)", r.Name, r.Host, r.Prefix)
}

func serviceLabel(name string) string {
	return fmt.Sprintf("service %q", name)
}

func organisationLabel(name string) string {
	return fmt.Sprintf("organisation %q", name)
}

func (c *checker) checkRoutes() {
	for _, r := range c.table.Routes() {
		where := routeLabel(r)
		switch match := c.table.Match(r.Host, r.Prefix); {
		case match == r:
		case match != nil && match.Prefix == r.Prefix:
			c.add(Warning, where, "never matches: route %q has the same host and prefix and comes first", match.Name)
		default:
			c.add(Warning, where, "never matches: want a host without a port and a prefix without a query")
		}
		if !strings.HasSuffix(r.Prefix, "/") {
			c.add(Warning, where, "the prefix does not end with a slash, so it also matches longer names")
		}
		if r.Timeout > 0 && r.Objective > r.Timeout {
			c.add(Warning, where, "the latency objective %s exceeds the timeout %s, at which the call ends", r.Objective, r.Timeout)
		}
		c.checkTargets(where, r)
	}
}

func (c *checker) checkTargets(where string, r *routing.Route) {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	for _, target := range r.Targets {
		if !slices.Contains(c.table.DeclaredServices, target.Service) {
			c.add(Error, where, "service %q is not declared", target.Service)
		}
		if target.Weight == 0 && total > 0 {
			c.add(Warning, where, "service %q has weight 0 and gets no calls", target.Service)
		}
	}
	if total == 0 {
		c.add(Error, where, "all weights are 0: want at least one above 0")
	}
}

func (c *checker) checkServices() {
	used := c.table.Services()
	for i, service := range c.table.DeclaredServices {
		where := serviceLabel(service)
		if slices.Contains(c.table.DeclaredServices[:i], service) {
			c.add(Error, where, "is declared twice")
			continue
		}
		if !slices.Contains(used, service) {
			c.add(Warning, where, "no route leads to it")
		}
	}
}

func (c *checker) checkOrganisations() {
	set := c.table.Organisations
	if !set.Required() {
		return
	}
	allPublic := true
	priorities := make(map[call.Priority]bool)
	for _, r := range c.table.Routes() {
		allPublic = allPublic && r.Public
		priorities[r.Priority] = true
	}
	if allPublic {
		c.add(Warning, "organisations", "all routes are public, so no caller needs a credential")
	}
	for _, a := range set.Summaries() {
		where := organisationLabel(a.Name)
		if a.Credentials == 0 {
			c.add(Warning, where, "has no credential, so no call can be its own")
		}
		if a.Rate == 0 && a.Burst > 0 {
			c.add(Warning, where, "the burst %g has no effect without a rate", a.Burst)
		}
		if a.Rate > 0 && a.Burst < 1 {
			c.add(Error, where, "no call fits into the burst %g: want at least 1", a.Burst)
		}
		if a.Priority != nil && !priorities[*a.Priority] {
			c.add(Warning, where, "no route has its priority %s", *a.Priority)
		}
	}
}
