package routing

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a request that is matched to a route with a shorter prefix than another
// one that matches, to a route of another host, or to a route whose prefix does not begin the path
// as it was received, by its last slash, its case or its escapes.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	short := &Route{Name: "short", Host: "a.example", Prefix: "/x/", Targets: []Target{{Service: "s", Weight: 1}}}
	long := &Route{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: short.Targets}
	other := &Route{Name: "other", Host: "b.example", Prefix: "/x/y/", Targets: short.Targets}
	table := New(1, DefaultLimits(), []*Route{short, other, long})
	for _, c := range []struct{ host, target, want string }{
		{"a.example", "/x/y/z?q=/x/", "long"},
		{"A.example:80", "/x/z", "short"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/y?q=/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/x?q=1", ""},
		{"a.example", "/x?/", ""},
		{"a.example", "/X/", ""},
		{"a.example", "/%78/", ""},
		{"a.example", "/x%2f", ""},
		{"a.example", "//x/", ""},
		{"a.example", "http://a.example/x/", ""},
		{"a.example", "*", ""},
		{"a.example", "", ""},
		{"a.example.", "/x/", ""},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/x/", ""},
		{"a.example", "/xy/", ""},
		{"c.example", "/x/y/", ""},
	} {
		route := table.Match(c.host, c.target)
		if c.want == "" {
			assert.Assert(t, route == nil, "%s%s", c.host, c.target)
			continue
		}
		assert.Equal(t, route.Name, c.want, "%s%s", c.host, c.target)
	}
}

// Guards against any other comparison of hosts and paths than the stated one: the longest prefix that
// begins the path, of equal ones the first.
func TestMatchFollowsTheRule(t *testing.T) {
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab", ""}), 0, 3)
	hosts := rapid.SampledFrom([]string{"h", "H", "h.b"})
	rapid.Check(t, func(rt *rapid.T) {
		var routes []*Route
		for range rapid.IntRange(0, 6).Draw(rt, "routes") {
			prefix := "/" + strings.Join(append(segments.Draw(rt, "prefix"), ""), "/")
			routes = append(routes, &Route{Host: hosts.Draw(rt, "host"), Prefix: prefix})
		}
		host, path := hosts.Draw(rt, "of the request"), "/"+strings.Join(segments.Draw(rt, "path"), "/")
		var want *Route
		for _, r := range routes {
			if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = r
			}
		}
		table := New(1, DefaultLimits(), routes)
		assert.Assert(rt, table.Match(host, path) == want, "%s%s", host, path)
		assert.Assert(rt, table.Match(host+":80", path+"?/a/b/") == want, "%s%s", host, path)
	})
}

// Guards against a service that gets more or fewer calls than its weight.
func TestPickFollowsWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"a", 90}, {"b", 0}, {"c", 10}}}
	counts := map[string]int{}
	const calls = 300
	for i := range calls {
		_, point := math.Modf(float64(i) * 0.6180339887498949)
		counts[r.Pick(point)]++
	}
	assert.Equal(t, counts["b"], 0)
	assert.Assert(t, math.Abs(float64(counts["a"])/calls-0.9) < 0.01, "%v", counts)
}
