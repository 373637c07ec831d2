package integration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/standin/faultproxy"
	"github.com/mustardwing/mustardwing/standin/upstream"
	"github.com/mustardwing/mustardwing/test/fleet"
)

// sizedRequest is one logical request with a body in each direction and all the
// responses to it.
type sizedRequest struct {
	testID, method, kind, key  string
	uploadBytes, downloadBytes int
	upload                     []byte
	// maxAttempts is the largest number of attempts that the caller makes.
	maxAttempts int
	responses   []response
}

// newSizedRequest draws the properties of a request. Each body has 0 bytes to 3 MiB, on
// average half of them 1 MiB or more. Every third request has an idempotency key. On
// average one request in four is attempted up to three times, the others once.
func newSizedRequest(i int, random *rand.Rand) *sizedRequest {
	s := &sizedRequest{testID: fmt.Sprintf("sized-%d", i), method: http.MethodPut, kind: "replace", maxAttempts: 1 + 2*(random.IntN(4)/3)}
	if i%3 == 0 {
		s.method, s.kind, s.key = http.MethodPost, "charge", newKey()
	}
	sizes := []int{0, 200, 40_000, 1 << 20, 3 << 20}
	sizeIndexes := []int{0, 1, 2, 3, 4, 4}
	s.uploadBytes = sizes[sizeIndexes[random.IntN(len(sizeIndexes))]]
	s.downloadBytes = sizes[sizeIndexes[random.IntN(len(sizeIndexes))]]
	return s
}

// sendWithRetries sends the request up to s.maxAttempts times, until it succeeds or,
// without a key, may have run. With a key, each attempt goes to two nodes at the same
// time, and the request is retried after any other result.
func (s *sizedRequest) sendWithRetries(targets []string, first int) {
	s.upload, _ = io.ReadAll(upstream.Padding("upload of "+s.testID, int64(s.uploadBytes)))
	for attempt := range s.maxAttempts {
		results := make([]response, 1)
		if s.key != "" {
			results = make([]response, 2)
		}
		var wg sync.WaitGroup
		for d := range results {
			target := targets[(first+attempt+d)%len(targets)]
			wg.Go(func() { results[d] = s.send(target) })
		}
		wg.Wait()
		s.responses = append(s.responses, results...)
		for _, r := range results {
			if r.status == http.StatusOK || s.key == "" && r.run != "no" {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *sizedRequest) send(target string) response {
	return send(request{
		target: target, method: s.method, service: "search", kind: s.kind, testID: s.testID, key: s.key,
		query: "?size=" + strconv.Itoa(s.downloadBytes), body: bytes.NewReader(s.upload),
	})
}

// checkBody asserts that a complete response holds exactly what the upstream
// sends for this request.
func (s *sizedRequest) checkBody(t *testing.T, r response) {
	t.Helper()
	line, padding, found := bytes.Cut(r.body, []byte("\n"))
	assert.Assert(t, found, "%s: body %q", s.testID, r.body)
	var got upstream.Response
	assert.NilError(t, json.Unmarshal(line, &got))
	assert.Equal(t, got.TestID, s.testID)
	sum := sha256.Sum256(s.upload)
	assert.Equal(t, got.BodyHash, hex.EncodeToString(sum[:]), "%s: the upstream received another body", s.testID)
	want, err := io.ReadAll(upstream.Padding(s.testID, int64(s.downloadBytes)))
	assert.NilError(t, err)
	assert.Equal(t, len(padding), len(want), "%s: length of the body", s.testID)
	assert.Assert(t, bytes.Equal(padding, want), "%s: content of the body", s.testID)
}

// injectFaults injects a fault into one random link at a time, with a short interval
// without faults in between, until stop is closed. A link is the connections through one
// proxy. The fault modes follow each other in a fixed order.
func injectFaults(links []*faultproxy.Proxy, random *rand.Rand, stop <-chan struct{}) {
	modes := []faultproxy.Mode{faultproxy.CutAfter, faultproxy.Cut, faultproxy.CutAfter, faultproxy.Reset, faultproxy.CutAfter, faultproxy.Freeze}
	directions := []string{"", "to-server", "to-client"}
	for i := 0; ; i++ {
		link := links[random.IntN(len(links))]
		link.SetFault(faultproxy.Fault{
			Mode: modes[i%len(modes)], Only: directions[random.IntN(len(directions))], Bytes: random.Int64N(1 << 20),
		})
		waitUnlessStopped(stop, 50*time.Millisecond+time.Duration(random.Int64N(int64(400*time.Millisecond))))
		link.SetFault(faultproxy.Fault{Mode: faultproxy.Pass})
		if waitUnlessStopped(stop, 100*time.Millisecond) {
			return
		}
	}
}

// waitUnlessStopped waits for d or until stop is closed and reports whether stop was
// closed.
func waitUnlessStopped(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// outcomeCounts counts the outcomes that callers saw, to show that the faults had an
// effect.
type outcomeCounts struct {
	// requests counts requests, onlyNotRun those of which all responses report that the
	// request did not run. The others count responses: succeeded ones, aborted ones (no
	// complete response), and failures by the execution outcome that they report.
	requests, succeeded, aborted, notRun, unknown, onlyNotRun int
	// codes counts responses by result code and execution outcome.
	codes map[string]int
}

func (c *outcomeCounts) add(r response) {
	c.codes[r.code+" "+r.run]++
	switch {
	case r.err != nil:
		c.aborted++
	case r.status == http.StatusOK:
		c.succeeded++
	case r.run == "no":
		c.notRun++
	default:
		c.unknown++
	}
}

// Guards against a request that ran although all responses to it report that it did
// not run, a truncated or mixed-up body that looks complete, and a second execution
// of a request with a key. Connections between nodes and to the upstreams are closed,
// reset and stalled in the middle of bodies.
func TestLinkFaultsNeverMisreportExecution(t *testing.T) {
	d := chainDeployment()
	d.Settings["settings/default"] = fleet.ScopeObject(fleet.Overrides{"timeout": "5s", "ramp_up": "0s", "moves": 1, "queue_timeout": "20ms"})
	d.Settings["settings/service/search"] = fleet.ScopeObject(nil,
		fleet.KindOverrides{Name: "charge", Overrides: fleet.Overrides{"idempotent": "no"}},
		fleet.KindOverrides{Name: "replace", Overrides: fleet.Overrides{"idempotent": "yes"}})
	for i := range d.Services {
		d.Services[i].Proxied = true
		// There are fewer slots than concurrent callers, so that some calls are refused.
		d.Services[i].Slots = 4
		d.Services[i].Instances = 2
	}
	f := startFleet(t, d)
	var peers, upstreams []*faultproxy.Proxy
	// Instances are listed in the order in which they have started, which differs from run to run. Here the
	// services alternate, so that the same faults hit the same services.
	for i := range 2 {
		for _, service := range d.Services {
			instance := f.Instances(service.Name)[i]
			peers = append(peers, instance.PeerProxy)
			upstreams = append(upstreams, instance.UpstreamProxy)
		}
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { injectFaults(peers, rand.New(rand.NewPCG(3, 1)), stop) })
	faults.Go(func() { injectFaults(upstreams, rand.New(rand.NewPCG(3, 3)), stop) })
	requests := sendSizedRequests(f.CallerURLs(), 600, rand.New(rand.NewPCG(3, 2)))
	close(stop)
	faults.Wait()
	checkSizedRequests(t, f, requests)
}

// sendSizedRequests sends n requests from several concurrent callers and returns when
// all have finished.
func sendSizedRequests(targets []string, n int, random *rand.Rand) []*sizedRequest {
	const callers = 12
	requests := make([]*sizedRequest, n)
	queue := make(chan func())
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for job := range queue {
				job()
			}
		})
	}
	for i := range requests {
		s, first := newSizedRequest(i, random), random.IntN(len(targets))
		requests[i] = s
		queue <- func() { s.sendWithRetries(targets, first) }
	}
	close(queue)
	wg.Wait()
	return requests
}

// checkSizedRequests asserts that the responses to each request agree with its
// executions, that successful responses are complete, that neither a request with a key
// nor its nested call ran twice, and that every kind of outcome occurred.
func checkSizedRequests(t *testing.T, f *fleet.Fleet, requests []*sizedRequest) {
	t.Helper()
	rootExecutions, nestedExecutions := executions(t, f, "search"), executions(t, f, "history")
	counts := outcomeCounts{requests: len(requests), codes: make(map[string]int)}
	for _, s := range requests {
		onlyNotRun := true
		for _, r := range s.responses {
			counts.add(r)
			onlyNotRun = onlyNotRun && r.err == nil && r.run == "no"
			if r.err == nil && r.status == http.StatusOK {
				s.checkBody(t, r)
				assert.Assert(t, rootExecutions[s.testID] > 0, "%s succeeded and did not run", s.testID)
			}
		}
		if onlyNotRun {
			counts.onlyNotRun++
			assert.Equal(t, rootExecutions[s.testID]+nestedExecutions[s.testID], 0, "%s was reported as not run: %+v", s.testID, s.codes())
		}
		if s.key != "" {
			assert.Assert(t, rootExecutions[s.testID] <= 1, "%s ran %d times: %v", s.testID, rootExecutions[s.testID], s.codes())
			assert.Assert(t, nestedExecutions[s.testID] <= 1, "the nested call of %s ran %d times", s.testID, nestedExecutions[s.testID])
		}
	}
	t.Logf("%+v", counts)
	assert.Assert(t, counts.succeeded > len(requests)/4, "%+v", counts)
	assert.Assert(t, counts.onlyNotRun > 0 && counts.unknown > 0 && counts.aborted > 0, "the faults had no effect: %+v", counts)
}

// codes returns the status, result code and execution outcome of each response, for
// messages.
func (s *sizedRequest) codes() []string {
	var codes []string
	for _, r := range s.responses {
		codes = append(codes, fmt.Sprintf("%d/%s/%s", r.status, r.code, r.run))
	}
	return codes
}
