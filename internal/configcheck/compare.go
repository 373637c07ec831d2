package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/mustardwing/mustardwing/internal/organisation"
	"github.com/mustardwing/mustardwing/internal/routing"
)

// Change is one difference in meaning between two configurations.
type Change struct {
	// Where names the object in the configuration.
	Where string `json:"where"`
	Text  string `json:"text"`
}

// Comparison is what a new configuration would change.
type Comparison struct {
	Findings []Finding
	Changes  []Change
}

// Compare returns what the configuration next changes in the one in force, and errors if the
// store or the nodes would refuse it after that one.
func Compare(inForce, next *routing.Table) Comparison {
	c := &Comparison{}
	if next.Version <= inForce.Version {
		c.Findings = append(c.Findings, Finding{Error, "version", fmt.Sprintf("%d is not above %d, which is in force", next.Version, inForce.Version)})
	}
	if next.BaseVersion != 0 && next.BaseVersion != inForce.Version {
		c.Findings = append(c.Findings, Finding{Error, "base version", fmt.Sprintf("the configuration is based on version %d, but %d is in force", next.BaseVersion, inForce.Version)})
	}
	c.compareLimits(inForce, next)
	c.compareRoutes(inForce, next)
	c.compareServices(inForce, next)
	c.compareOrganisations(inForce, next)
	return *c
}

func (c *Comparison) add(where, format string, args ...any) {
	c.Changes = append(c.Changes, Change{where, fmt.Sprintf(format, args...)})
}

// differ adds a change if two values differ.
func differ[T comparable](c *Comparison, where, what string, before, after T) {
	if before != after {
		c.add(where, "%s %v, was %v", what, after, before)
	}
}

func (c *Comparison) compareLimits(a, b *routing.Table) {
	differ(c, "limits", "largest header in bytes", a.Limits.MaxHeaderBytes, b.Limits.MaxHeaderBytes)
	differ(c, "limits", "largest body in bytes", a.Limits.MaxBodyBytes, b.Limits.MaxBodyBytes)
	differ(c, "limits", "header timeout", a.Limits.HeaderTimeout, b.Limits.HeaderTimeout)
	differ(c, "limits", "idle timeout", a.Limits.IdleTimeout, b.Limits.IdleTimeout)
}

// effectiveRoutes returns the routes that can match, by host and prefix.
func effectiveRoutes(t *routing.Table) map[string]*routing.Route {
	routes := make(map[string]*routing.Route)
	for _, r := range t.Routes() {
		if t.Match(r.Host, r.Prefix) == r {
			routes[strings.ToLower(r.Host)+r.Prefix] = r
		}
	}
	return routes
}

func (c *Comparison) compareRoutes(inForce, next *routing.Table) {
	before, after := effectiveRoutes(inForce), effectiveRoutes(next)
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if before[key] == nil {
			c.add(routeLabel(after[key]), "added, to %s", targetText(after[key]))
			continue
		}
		c.compareRoute(before[key], after[key])
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if after[key] == nil {
			c.add(routeLabel(before[key]), "removed; %s", fallbackText(next, before[key]))
		}
	}
}

// fallbackText says what happens to the calls of a route that is removed.
func fallbackText(next *routing.Table, removed *routing.Route) string {
	if other := next.Match(removed.Host, removed.Prefix); other != nil {
		return fmt.Sprintf("its calls go to route %q", other.Name)
	}
	return "its calls get status 404"
}

func (c *Comparison) compareRoute(a, b *routing.Route) {
	where := routeLabel(b)
	differ(c, where, "name", a.Name, b.Name)
	differ(c, where, "idempotent", a.Idempotent, b.Idempotent)
	differ(c, where, "public", a.Public, b.Public)
	differ(c, where, "priority", a.Priority, b.Priority)
	differ(c, where, "timeout", a.Timeout, b.Timeout)
	differ(c, where, "latency objective", a.Objective, b.Objective)
	differ(c, where, "attempts", a.MaxAttempts, b.MaxAttempts)
	if !maps.Equal(targetShares(a), targetShares(b)) {
		c.add(where, "to %s, was %s", targetText(b), targetText(a))
	}
}

// targetShares returns the shares of the calls that the services of a route get.
func targetShares(r *routing.Route) map[string]float64 {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	shares := make(map[string]float64, len(r.Targets))
	for _, target := range r.Targets {
		if target.Weight > 0 {
			shares[target.Service] += target.Weight / total
		}
	}
	return shares
}

// targetText returns the services of a route with their shares of the calls.
func targetText(r *routing.Route) string {
	shares := targetShares(r)
	var parts []string
	for _, service := range slices.Sorted(maps.Keys(shares)) {
		parts = append(parts, fmt.Sprintf("%s %.5g %%", service, 100*shares[service]))
	}
	return strings.Join(parts, ", ")
}

func (c *Comparison) compareServices(a, b *routing.Table) {
	for _, service := range b.DeclaredServices {
		where := serviceLabel(service)
		if !slices.Contains(a.DeclaredServices, service) {
			c.add(where, "added")
			continue
		}
		differ(c, where, "health path", a.HealthPaths[service], b.HealthPaths[service])
	}
	for _, service := range a.DeclaredServices {
		if !slices.Contains(b.DeclaredServices, service) {
			c.add(serviceLabel(service), "removed")
		}
	}
}

// compareOrganisations shows credentials by their fingerprints.
func (c *Comparison) compareOrganisations(inForce, next *routing.Table) {
	for _, change := range organisation.Compare(inForce.Organisations, next.Organisations) {
		text := string(change.Kind)
		if change.Fingerprint != "" {
			text += " " + change.Fingerprint
		}
		if change.Before != "" || change.After != "" {
			text += fmt.Sprintf(": %s, was %s", change.After, change.Before)
		}
		c.add(organisationLabel(change.Organisation), "%s", text)
	}
	if inForce.Organisations.Required() && !next.Organisations.Required() {
		c.add("organisations", "none is left, so no caller needs a credential any more")
	}
}
