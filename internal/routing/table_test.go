package routing

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that is matched to a route with a shorter prefix than another
// one that matches, to a route of another host, or to a route whose prefix ends inside a
// path segment.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	short := &Route{Name: "short", Host: "a.example", Prefix: "/x/", Targets: []Target{{Service: "s", Weight: 1}}}
	long := &Route{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: short.Targets}
	other := &Route{Name: "other", Host: "b.example", Prefix: "/x/y/", Targets: short.Targets}
	table := New(1, DefaultLimits(), []*Route{short, other, long})
	for _, c := range []struct{ host, target, want string }{
		{"a.example", "/x/y/z?q=/x/", "long"},
		{"A.example:80", "/x/z", "short"},
		{"a.example", "/x?q=1", "short"},
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
