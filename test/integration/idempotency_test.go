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

// keyedRequest is one non-idempotent request with a key and all the responses to it.
type keyedRequest struct {
	testID, key string
	responses   []response
}

// sendKeyedRequests sends n requests, one per interval, and returns when all have
// finished. Meanwhile the test injects faults.
func sendKeyedRequests(targets []string, n int, interval time.Duration, random *rand.Rand) []*keyedRequest {
	requests := make([]*keyedRequest, n)
	var wg sync.WaitGroup
	for i := range requests {
		k := &keyedRequest{testID: fmt.Sprintf("once-%d", i), key: newKey()}
		requests[i] = k
		first := random.IntN(len(targets))
		wg.Go(func() { k.sendWithRetries(targets, first) })
		time.Sleep(interval)
	}
	wg.Wait()
	return requests
}

// sendWithRetries sends the request to two nodes at the same time and retries until a
// response reports that the request ran or the attempts are used up. first is the index
// of the first target.
func (k *keyedRequest) sendWithRetries(targets []string, first int) {
	const attempts, duplicates = 10, 2
	for a := range attempts {
		results := make([]response, duplicates)
		var wg sync.WaitGroup
		for d := range results {
			target := targets[(first+a+d)%len(targets)]
			wg.Go(func() {
				results[d] = send(request{target: target, method: http.MethodPost, service: "search", kind: "charge", testID: k.testID, key: k.key})
			})
		}
		wg.Wait()
		k.responses = append(k.responses, results...)
		for _, r := range results {
			if r.run == "yes" {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkAtMostOneExecution asserts that no request ran twice, that a request with a
// successful response ran, that no request ran for which every response reports that it
// did not run, and that some request succeeded.
func checkAtMostOneExecution(t *testing.T, f *fleet.Fleet, requests []*keyedRequest) {
	t.Helper()
	ran := executions(t, f, "search")
	succeeded := 0
	for _, k := range requests {
		assert.Assert(t, ran[k.testID] <= 1, "%s ran %d times", k.testID, ran[k.testID])
		onlyNotRun, ok := true, false
		for _, r := range k.responses {
			onlyNotRun = onlyNotRun && r.run == "no"
			ok = ok || r.status == http.StatusOK
		}
		if onlyNotRun {
			assert.Equal(t, ran[k.testID], 0, "%s was reported as not run", k.testID)
		}
		if ok {
			succeeded++
			assert.Equal(t, ran[k.testID], 1, "%s succeeded", k.testID)
		}
	}
	t.Logf("%d of %d requests succeeded", succeeded, len(requests))
	assert.Assert(t, succeeded > 0)
}

// Guards against a second execution when one node that owns keys is killed, another
// is paused beyond its lease, and callers retry at other nodes. The upstreams keep
// running, so that their execution counts can be read.
func TestChargeRunsAtMostOnceWhileOwnersFail(t *testing.T) {
	f := startFleet(t, chainDeployment())
	owners := f.Instances("search")
	var targets []string
	for _, instance := range f.Instances("history") {
		targets = append(targets, "http://"+instance.Node.Addresses.Caller)
	}
	go func() {
		time.Sleep(time.Second)
		owners[0].Node.Kill()
		time.Sleep(2 * time.Second)
		_ = owners[1].Node.Pause()
		time.Sleep(8 * time.Second)
		_ = owners[1].Node.Resume()
	}()
	checkAtMostOneExecution(t, f, sendKeyedRequests(targets, 150, 100*time.Millisecond, rand.New(rand.NewPCG(1, 1))))
}

// Guards against a second execution because a key has two owners: a node that owns keys
// is killed while the platform is unavailable. Then the platform is available again and
// loses the responses to half of the writes that it has stored.
func TestChargeRunsAtMostOnceWhilePlatformFails(t *testing.T) {
	f := startFleet(t, chainDeployment())
	var targets []string
	for _, instance := range f.Instances("history") {
		targets = append(targets, "http://"+instance.Node.Addresses.Caller)
	}
	assert.NilError(t, f.SetPlatformFaults(platformtest.Faults{Outage: true}))
	go func() {
		time.Sleep(2 * time.Second)
		f.Instances("search")[0].Node.Kill()
		time.Sleep(3 * time.Second)
		_ = f.SetPlatformFaults(platformtest.Faults{LostResponseFraction: 0.5})
	}()
	checkAtMostOneExecution(t, f, sendKeyedRequests(targets, 120, 100*time.Millisecond, rand.New(rand.NewPCG(2, 1))))
}
