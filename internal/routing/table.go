// Package routing holds the operators' routes: which service receives the calls to a
// host and path, and with which timeout, priority and number of attempts.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/organisation"
)

// Table is one version of the routes. It is immutable.
type Table struct {
	// Version numbers the versions of the routes; a higher number is a later version.
	Version uint64
	// BaseVersion is the version that the operators changed to make this one, zero if they do not
	// say.
	BaseVersion uint64
	// Limits are the size and time limits for the connections and requests of all callers,
	// whatever the route.
	Limits h1.Limits
	// HealthPaths holds the path of the health check of each service that has one. It must not
	// change once the table is in use.
	HealthPaths map[string]string
	// DeclaredServices holds the names of the services that the configuration declares, whether or
	// not a route leads to them. It must not change once the table is in use.
	DeclaredServices []string
	// Organisations holds the organisations whose callers may use the routes, nil if callers need
	// no credential. It must not change once the table is in use.
	Organisations *organisation.Set
	// hosts holds the routes of each host by its name in lower case, those with longer
	// prefixes first.
	hosts map[string][]*Route
	// routes holds all routes in the order of the configuration.
	routes []*Route
}

// New returns a table of the routes, which must not change afterwards. limits becomes
// Table.Limits. Of two routes with the same host and prefix the first one applies.
func New(version uint64, limits h1.Limits, routes []*Route) *Table {
	t := &Table{Version: version, Limits: limits, hosts: make(map[string][]*Route), routes: routes}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the host's route with the longest prefix that begins the path in the request
// target, or nil when no route matches. The path is compared as it was received, since the upstream
// gets it unchanged: /a does not match the prefix /a/. Match ignores the port of the host and the
// query of the target.
func (t *Table) Match(host, target string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(target, "?")
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Services returns the names of the services of all routes, without duplicates and in no
// particular order.
func (t *Table) Services() []string {
	var services []string
	for _, list := range t.hosts {
		for _, r := range list {
			for _, target := range r.Targets {
				if !slices.Contains(services, target.Service) {
					services = append(services, target.Service)
				}
			}
		}
	}
	return services
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	return len(t.routes)
}

// Routes returns all routes in the order of the configuration, also those that never match. The
// caller must not change them.
func (t *Table) Routes() []*Route {
	return t.routes
}

// DefaultLimits returns the limits that apply to callers until the first table is in force.
func DefaultLimits() h1.Limits {
	return h1.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
}
