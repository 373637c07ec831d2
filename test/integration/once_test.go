package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/test/fleet"
)

// keyed is one non-idempotent request and what its callers were told.
type keyed struct {
	testID, key string
	replies     []reply
}

// sendKeyed sends requests while faults run; each goes to several nodes at the
// same time and is repeated while it was not run.
func sendKeyed(targets []string, n int, pause time.Duration, random *rand.Rand) []*keyed {
	requests := make([]*keyed, n)
	var wg sync.WaitGroup
	for i := range requests {
		k := &keyed{testID: fmt.Sprintf("once-%d", i), key: newKey()}
		requests[i] = k
		first := random.IntN(len(targets))
		wg.Go(func() { k.sendAll(targets, first) })
		time.Sleep(pause)
	}
	wg.Wait()
	return requests
}

func (k *keyed) sendAll(targets []string, first int) {
	const attempts, duplicates = 10, 2
	for a := range attempts {
		results := make([]reply, duplicates)
		var wg sync.WaitGroup
		for d := range results {
			target := targets[(first+a+d)%len(targets)]
			wg.Go(func() {
				results[d] = send(request{target: target, method: http.MethodPost, service: "search", kind: "charge", testID: k.testID, key: k.key})
			})
		}
		wg.Wait()
		k.replies = append(k.replies, results...)
		for _, r := range results {
			if r.run == "yes" {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkOnce asserts that no request ran twice, that one reported as answered
// ran, and that one reported only as not run did not.
func checkOnce(t *testing.T, f *fleet.Fleet, requests []*keyed) {
	t.Helper()
	ran := executions(t, f, "search")
	answered := 0
	for _, k := range requests {
		assert.Assert(t, ran[k.testID] <= 1, "%s ran %d times", k.testID, ran[k.testID])
		onlyNotRun, ok := true, false
		for _, r := range k.replies {
			onlyNotRun = onlyNotRun && r.run == "no"
			ok = ok || r.status == http.StatusOK
		}
		if onlyNotRun {
			assert.Equal(t, ran[k.testID], 0, "%s was reported as not run", k.testID)
		}
		if ok {
			answered++
			assert.Equal(t, ran[k.testID], 1, "%s was answered", k.testID)
		}
	}
	t.Logf("%d of %d requests answered", answered, len(requests))
	assert.Assert(t, answered > 0)
}

// Guards against a second execution when the node that owns keys is killed, one
// is paused beyond its lease, and callers repeat their requests at other nodes.
// The upstreams stay, so that their counts can be read.
func TestChargeRunsOnceWhileOwnersFail(t *testing.T) {
	f := startFleet(t, chain())
	owners := f.Instances("search")
	var targets []string
	for _, i := range f.Instances("history") {
		targets = append(targets, "http://"+i.Node.Addresses.Caller)
	}
	go func() {
		time.Sleep(time.Second)
		owners[0].Node.Kill()
		time.Sleep(2 * time.Second)
		_ = owners[1].Node.Pause()
		time.Sleep(8 * time.Second)
		_ = owners[1].Node.Resume()
	}()
	checkOnce(t, f, sendKeyed(targets, 150, 100*time.Millisecond, rand.New(rand.NewPCG(1, 1))))
}

// Guards against two owners while the platform is away and loses the answers of
// the writes it takes afterwards.
func TestChargeRunsOnceWhilePlatformFails(t *testing.T) {
	f := startFleet(t, chain())
	var targets []string
	for _, i := range f.Instances("history") {
		targets = append(targets, "http://"+i.Node.Addresses.Caller)
	}
	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{Outage: true}))
	go func() {
		time.Sleep(2 * time.Second)
		f.Instances("search")[0].Node.Kill()
		time.Sleep(3 * time.Second)
		_ = f.SetPlatformFaults(platformtest.Faults{LostResponseFraction: 0.5})
	}()
	checkOnce(t, f, sendKeyed(targets, 120, 100*time.Millisecond, rand.New(rand.NewPCG(2, 1))))
}
