package configcheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/organisation"
	"github.com/mustardwing/mustardwing/internal/routing"
)

// newTable returns a table without findings, after change.
func newTable(t *testing.T, version uint64, change func(routes []*routing.Route, accounts []organisation.Account, table *routing.Table)) *routing.Table {
	t.Helper()
	priority := call.High
	routes := []*routing.Route{
		{Name: "a", Host: "h", Prefix: "/a/", Priority: call.High, Timeout: time.Second, Objective: time.Second, Targets: []routing.Target{{Service: "s", Weight: 9}, {Service: "u", Weight: 1}}},
		{Name: "b", Host: "h", Prefix: "/b/", Priority: call.Normal, Public: true, Targets: []routing.Target{{Service: "s", Weight: 1}}},
	}
	accounts := []organisation.Account{{Organisation: organisation.Organisation{Name: "o", Priority: &priority, Rate: 5, Burst: 5}, Credentials: []string{"secret-1"}}}
	table := routing.New(version, h1.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Minute}, routes)
	table.DeclaredServices = []string{"s", "u"}
	change(routes, accounts, table)
	changed := routing.New(version, table.Limits, routes)
	changed.DeclaredServices, changed.BaseVersion, changed.HealthPaths = table.DeclaredServices, table.BaseVersion, table.HealthPaths
	table = changed
	var err error
	table.Organisations, err = organisation.NewSet(accounts)
	assert.NilError(t, err)
	return table
}

func unchanged([]*routing.Route, []organisation.Account, *routing.Table) {}

// Guards against a mistake in a configuration that an operator is not told of, and against findings
// for one without mistakes.
func TestCheckFindsMistakes(t *testing.T) {
	type routes = []*routing.Route
	type accounts = []organisation.Account
	cases := []struct {
		want   string
		change func(routes, accounts, *routing.Table)
	}{
		{"", unchanged},
		{`warning: route "b" (h/a/): never matches`, func(r routes, _ accounts, _ *routing.Table) { r[1].Prefix = "/a/" }},
		{`warning: route "b" (H/a/): never matches`, func(r routes, _ accounts, _ *routing.Table) { r[1].Host, r[1].Prefix = "H", "/a/" }},
		{`warning: route "b" (h:80/b/): never matches: want`, func(r routes, _ accounts, _ *routing.Table) { r[1].Host = "h:80" }},
		{`warning: route "b" (h/b?x/): never matches: want`, func(r routes, _ accounts, _ *routing.Table) { r[1].Prefix = "/b?x/" }},
		{`warning: route "a" (h/a): the prefix`, func(r routes, _ accounts, _ *routing.Table) { r[0].Prefix = "/a" }},
		{`warning: route "a" (h/a/): the latency objective 2s exceeds the timeout 1s`, func(r routes, _ accounts, _ *routing.Table) { r[0].Objective = 2 * time.Second }},
		{`error: route "a" (h/a/): service "x" is not declared`, func(r routes, _ accounts, _ *routing.Table) {
			r[0].Targets = append(r[0].Targets, routing.Target{Service: "x", Weight: 1})
		}},
		{`warning: route "a" (h/a/): service "u" has weight 0`, func(r routes, _ accounts, _ *routing.Table) { r[0].Targets[1].Weight = 0 }},
		{`error: route "a" (h/a/): all weights are 0`, func(r routes, _ accounts, _ *routing.Table) { r[0].Targets[0].Weight, r[0].Targets[1].Weight = 0, 0 }},
		{`warning: service "v": no route leads to it`, func(_ routes, _ accounts, t *routing.Table) { t.DeclaredServices = append(t.DeclaredServices, "v") }},
		{`error: service "s": is declared twice`, func(_ routes, _ accounts, t *routing.Table) { t.DeclaredServices = append(t.DeclaredServices, "s") }},
		{`warning: limits: the header timeout`, func(_ routes, _ accounts, t *routing.Table) { t.Limits.HeaderTimeout = time.Hour }},
		{`warning: organisations: all routes are public`, func(r routes, _ accounts, _ *routing.Table) { r[0].Public = true }},
		{`warning: organisation "o": has no credential`, func(_ routes, a accounts, _ *routing.Table) { a[0].Credentials = nil }},
		{`warning: organisation "o": the burst 5 has no effect`, func(_ routes, a accounts, _ *routing.Table) { a[0].Rate = 0 }},
		{`error: organisation "o": no call fits into the burst 0.5`, func(_ routes, a accounts, _ *routing.Table) { a[0].Burst = 0.5 }},
		{`warning: organisation "o": no route has its priority high`, func(r routes, _ accounts, _ *routing.Table) { r[0].Priority = call.Normal }},
	}
	for _, c := range cases {
		findings := Check(newTable(t, 2, c.change))
		if c.want == "" {
			assert.Equal(t, len(findings), 0, "%v", findings)
			continue
		}
		found := slices.ContainsFunc(findings, func(f Finding) bool {
			return strings.HasPrefix(string(f.Severity)+": "+f.Where+": "+f.Text, c.want)
		})
		assert.Assert(t, found, "want %s, got %v", c.want, findings)
	}
}

// Guards against a change that is not shown, a difference that has no effect but is shown, and a
// credential that is shown.
func TestCompareShowsMeaning(t *testing.T) {
	inForce := newTable(t, 2, unchanged)
	reordered := newTable(t, 3, func(r []*routing.Route, _ []organisation.Account, table *routing.Table) {
		r[0].Targets = []routing.Target{{Service: "u", Weight: 10}, {Service: "s", Weight: 90}}
		slices.Reverse(table.DeclaredServices)
		table.BaseVersion = 2
	})
	assert.DeepEqual(t, Compare(inForce, reordered), Comparison{})

	next := newTable(t, 2, func(r []*routing.Route, a []organisation.Account, table *routing.Table) {
		r[0].Targets[0].Weight = 1
		r[1].Prefix = "/a/c/"
		a[0].Rate, a[0].Credentials = 7, []string{"secret-2"}
		table.BaseVersion = 1
	})
	c := Compare(inForce, next)
	assert.Equal(t, len(c.Findings), 2, "%v", c.Findings)
	want := []Change{
		{`route "a" (h/a/)`, "to s 50 %, u 50 %, was s 90 %, u 10 %"},
		{`route "b" (h/a/c/)`, "added, to s 100 %"},
		{`route "b" (h/b/)`, "removed; its calls get status 404"},
		{`organisation "o"`, "credential removed " + organisation.Fingerprint("secret-1")},
		{`organisation "o"`, "credential added " + organisation.Fingerprint("secret-2")},
		{`organisation "o"`, "quota changed: 7/s, burst 5, was 5/s, burst 5"},
	}
	assert.DeepEqual(t, c.Changes, want)
}
