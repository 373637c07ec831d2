package policy

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardwing/mustardwing/internal/call"
)

// randomOverload draws a single service of random size that is offered one to six
// times its capacity, in equal shares of all four priorities.
func randomOverload(t *rapid.T) Scenario {
	instances := rapid.IntRange(2, 6).Draw(t, "instances")
	slots := rapid.IntRange(2, 10).Draw(t, "slots")
	factor := rapid.IntRange(1, 6).Draw(t, "factor")
	serviceTime := 20 * time.Millisecond
	s := Scenario{
		Services: []Service{{Instances: instances, Slots: slots, ServiceTime: serviceTime}},
		Rate:     constant(float64(factor*instances*slots) / serviceTime.Seconds()),
		Length:   time.Second,
		Seed:     rapid.Uint64().Draw(t, "seed"),
	}
	for p := range call.Priority(call.PriorityCount) {
		s.Classes = append(s.Classes, Class{Kind: p.String(), Priority: p, Share: 0.25, ServiceTimeFactor: 1, Idempotent: true})
	}
	return s
}

// Guards against a priority inversion: a call that is shed at one instance while a call
// of a lower priority is queued at another instance, to which the shed call could still
// have moved.
// Inversions in which the local node refuses the call before sending are only logged.
func TestImportantCallsMoveBeforeTheyAreRefused(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.checks", "6"); err != nil {
		t.Fatal(err)
	}
	refusals, localInversions := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := randomOverload(rt)
		var r *Results
		synctest.Test(t, func(*testing.T) { r = Run(s) })
		refusals += r.refusals
		localInversions += r.localInversions
		assert.Equal(rt, r.inversions, 0, "of %d refusals", r.refusals)
	})
	t.Logf("%d refusals; %d refused before sending while a lower-priority call was queued elsewhere", refusals, localInversions)
}
