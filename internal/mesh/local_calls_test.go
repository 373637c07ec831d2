package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// runningCall is a call in the played load.
type runningCall struct {
	end      time.Time
	balancer *balancer.Balancer
	choice   balancer.Choice
}

// playDomains plays Poisson arrivals in three failure domains with one instance each, which keep a
// fraction of the slots busy, and returns the fractions of the calls that leave their domain and
// that find no free slot.
func playDomains(busy float64) (crossing, waiting float64) {
	const slots, calls, service = 16, 30_000, 100 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	now := time.UnixMilli(1_000_000)
	var instances []balancer.Instance
	var callers []*balancer.Balancer
	for i := range 3 {
		instances = append(instances, balancer.Instance{ID: fmt.Sprint("i-", i), FailureDomain: fmt.Sprint("d-", i), Slots: slots})
	}
	for i := range 3 {
		s := NewInstances("", instances[i].FailureDomain, directory.New(directory.Entry{Node: "n", Address: "n:1"}, time.Now), func(string) settings.Values { return settings.Defaults() })
		b := balancer.New(s.config("s"), rand.New(rand.NewPCG(uint64(i), 3)))
		b.SetInstances(now, instances)
		callers = append(callers, b)
	}
	running := map[string]int{}
	var active []runningCall
	crossed, waited := 0, 0
	for range calls {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(service) / (3 * slots * busy)))
		kept := active[:0]
		for _, c := range active {
			if c.end.After(now) {
				kept = append(kept, c)
				continue
			}
			id := c.choice.Instance.ID
			running[id]--
			load := admission.Load{Running: running[id], Slots: slots}
			c.balancer.Done(c.end, c.choice, balancer.Feedback{Latency: service, Code: resultcode.OK, Execution: resultcode.Run, Load: &load})
		}
		active = kept
		from := random.IntN(3)
		choice, err := callers[from].Pick(now, balancer.PickRequest{Kind: "k"})
		if err != nil {
			panic(err)
		}
		if choice.Instance.ID != instances[from].ID {
			crossed++
		}
		if running[choice.Instance.ID] >= slots {
			waited++
		}
		running[choice.Instance.ID]++
		active = append(active, runningCall{end: now.Add(service), balancer: callers[from], choice: choice})
	}
	return float64(crossed) / calls, float64(waited) / calls
}

// Guards against calls that cross between failure domains, which is charged for, although their
// own instance has free slots: at six tenths of the slots, at most one call in ten leaves, and at
// most one in a hundred waits for it.
func TestCallsStayInTheirFailureDomain(t *testing.T) {
	crossing, waiting := playDomains(0.6)
	t.Logf("crossing %.4f, waiting %.4f", crossing, waiting)
	assert.Assert(t, crossing <= 0.1, "%.4f of the calls leave their failure domain", crossing)
	assert.Assert(t, waiting <= 0.01, "%.4f of the calls wait for a slot", waiting)
}
