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

// randomOverload is a single service of random shape that is offered up to six
// times its capacity in four priorities.
func randomOverload(t *rapid.T) Scenario {
	instances := rapid.IntRange(2, 6).Draw(t, "instances")
	slots := rapid.IntRange(2, 10).Draw(t, "slots")
	factor := rapid.IntRange(1, 6).Draw(t, "factor")
	work := 20 * time.Millisecond
	s := Scenario{
		Services: []Service{{Instances: instances, Slots: slots, Work: work}},
		Rate:     constant(float64(factor*instances*slots) / work.Seconds()),
		Length:   time.Second,
		Seed:     rapid.Uint64().Draw(t, "seed"),
	}
	for p := range call.Priority(call.PriorityCount) {
		s.Classes = append(s.Classes, Class{Kind: p.String(), Priority: p, Share: 0.25, WorkFactor: 1, Idempotent: true})
	}
	return s
}

// Guards against an important call that is refused at one instance while a less
// important one is taken at another that it could still have moved to.
func TestImportantCallsMoveBeforeTheyAreRefused(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.checks", "6"); err != nil {
		t.Fatal(err)
	}
	refusals, early := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := randomOverload(rt)
		var r *Results
		synctest.Test(t, func(*testing.T) { r = Run(s) })
		refusals += r.refusals
		early += r.refusedEarlyImportant
		assert.Equal(rt, r.refusedImportant, 0, "of %d refusals", r.refusals)
	})
	t.Logf("%d refusals, %d early ones while a less important call waited", refusals, early)
}
