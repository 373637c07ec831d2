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

// sized is one logical request with a body each way and all its replies.
type sized struct {
	testID, method, kind, key  string
	uploadBytes, downloadBytes int
	upload                     []byte
	// attempts is how often the caller sends it at most.
	attempts int
	replies  []reply
}

// newSized draws the shape of a request: most are small, some carry megabytes
// one way or both ways, and every third has a key.
func newSized(i int, random *rand.Rand) *sized {
	s := &sized{testID: fmt.Sprintf("sized-%d", i), method: http.MethodPut, kind: "replace", attempts: 1 + 2*(random.IntN(4)/3)}
	if i%3 == 0 {
		s.method, s.kind, s.key = http.MethodPost, "charge", newKey()
	}
	sizes := []int{0, 200, 40_000, 1 << 20, 3 << 20}
	weights := []int{0, 1, 2, 3, 4, 4}
	s.uploadBytes = sizes[weights[random.IntN(len(weights))]]
	s.downloadBytes = sizes[weights[random.IntN(len(weights))]]
	return s
}

// run sends the request until it was answered or may have run. Keyed ones go to two nodes at the same time and are repeated whatever
// the reply was.
func (s *sized) run(targets []string, first int) {
	s.upload, _ = io.ReadAll(upstream.Padding("upload of "+s.testID, int64(s.uploadBytes)))
	for attempt := range s.attempts {
		results := make([]reply, 1)
		if s.key != "" {
			results = make([]reply, 2)
		}
		var wg sync.WaitGroup
		for d := range results {
			target := targets[(first+attempt+d)%len(targets)]
			wg.Go(func() { results[d] = s.send(target) })
		}
		wg.Wait()
		s.replies = append(s.replies, results...)
		for _, r := range results {
			if r.status == http.StatusOK || s.key == "" && r.run != "no" {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *sized) send(target string) reply {
	return send(request{
		target: target, method: s.method, service: "search", kind: s.kind, testID: s.testID, key: s.key,
		query: "?size=" + strconv.Itoa(s.downloadBytes), body: bytes.NewReader(s.upload),
	})
}

// checkBody asserts that a complete response holds exactly what the upstream
// sends for this request.
func (s *sized) checkBody(t *testing.T, r reply) {
	t.Helper()
	line, padding, found := bytes.Cut(r.body, []byte("\n"))
	assert.Assert(t, found, "%s: body %q", s.testID, r.body)
	var answer upstream.Response
	assert.NilError(t, json.Unmarshal(line, &answer))
	assert.Equal(t, answer.TestID, s.testID)
	sum := sha256.Sum256(s.upload)
	assert.Equal(t, answer.BodyHash, hex.EncodeToString(sum[:]), "%s: the upstream got another body", s.testID)
	want, err := io.ReadAll(upstream.Padding(s.testID, int64(s.downloadBytes)))
	assert.NilError(t, err)
	assert.Equal(t, len(padding), len(want), "%s: length of the body", s.testID)
	assert.Assert(t, bytes.Equal(padding, want), "%s: the body has other bytes", s.testID)
}

// injectFaults breaks one random link after the other and lets it heal for a
// moment, until stop is closed. Every mode comes up in turn.
func injectFaults(links []*faultproxy.Proxy, random *rand.Rand, stop <-chan struct{}) {
	modes := []faultproxy.Mode{faultproxy.CutAfter, faultproxy.Cut, faultproxy.CutAfter, faultproxy.Reset, faultproxy.CutAfter, faultproxy.Freeze}
	only := []string{"", "to-server", "to-client"}
	for i := 0; ; i++ {
		link := links[random.IntN(len(links))]
		link.SetFault(faultproxy.Fault{
			Mode: modes[i%len(modes)], Only: only[random.IntN(len(only))], Bytes: random.Int64N(1 << 20),
		})
		pause(stop, 50*time.Millisecond+time.Duration(random.Int64N(int64(400*time.Millisecond))))
		link.SetFault(faultproxy.Fault{Mode: faultproxy.Pass})
		if pause(stop, 100*time.Millisecond) {
			return
		}
	}
}

// pause waits and reports whether stop was closed.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// linkTally counts what callers were told, to show that the faults had an effect.
type linkTally struct {
	requests, answered, aborted, notRun, unknown, onlyNotRun int
	codes                                                    map[string]int
}

func (l *linkTally) add(r reply) {
	l.codes[r.code+" "+r.run]++
	switch {
	case r.err != nil:
		l.aborted++
	case r.status == http.StatusOK:
		l.answered++
	case r.run == "no":
		l.notRun++
	default:
		l.unknown++
	}
}

// Guards against a request that ran although all its callers were told that it
// did not, a body that is cut short or mixed up and still looks complete, and a
// second execution of a keyed request, while the connections between nodes and
// to the upstreams are cut, reset and frozen in the middle of bodies.
func TestBrokenLinksNeverMislead(t *testing.T) {
	d := chain()
	d.Settings["settings/default"] = fleet.ScopeObject(fleet.Overrides{"timeout": "5s", "ramp_up": "0s", "moves": 1, "queue_timeout": "20ms"})
	d.Settings["settings/service/search"] = fleet.ScopeObject(nil,
		fleet.KindOverrides{Name: "charge", Overrides: fleet.Overrides{"idempotent": "no"}},
		fleet.KindOverrides{Name: "replace", Overrides: fleet.Overrides{"idempotent": "yes"}})
	for i := range d.Services {
		d.Services[i].Proxied = true
		// Fewer slots than workers, so that some calls are refused.
		d.Services[i].Slots = 4
		d.Services[i].Instances = 2
	}
	f := startFleet(t, d)
	var peers, upstreams []*faultproxy.Proxy
	for _, i := range f.Instances("") {
		peers = append(peers, i.PeerProxy)
		upstreams = append(upstreams, i.UpstreamProxy)
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { injectFaults(peers, rand.New(rand.NewPCG(3, 1)), stop) })
	faults.Go(func() { injectFaults(upstreams, rand.New(rand.NewPCG(3, 3)), stop) })
	requests := sendSized(f.CallerURLs(), 600, rand.New(rand.NewPCG(3, 2)))
	close(stop)
	faults.Wait()
	checkSized(t, f, requests)
}

func sendSized(targets []string, n int, random *rand.Rand) []*sized {
	const workers = 12
	requests := make([]*sized, n)
	queue := make(chan func())
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for run := range queue {
				run()
			}
		})
	}
	for i := range requests {
		s, first := newSized(i, random), random.IntN(len(targets))
		requests[i] = s
		queue <- func() { s.run(targets, first) }
	}
	close(queue)
	wg.Wait()
	return requests
}

func checkSized(t *testing.T, f *fleet.Fleet, requests []*sized) {
	t.Helper()
	front, deep := executions(t, f, "search"), executions(t, f, "history")
	tally := linkTally{requests: len(requests), codes: make(map[string]int)}
	for _, s := range requests {
		onlyNotRun := true
		for _, r := range s.replies {
			tally.add(r)
			onlyNotRun = onlyNotRun && r.err == nil && r.run == "no"
			if r.err == nil && r.status == http.StatusOK {
				s.checkBody(t, r)
				assert.Assert(t, front[s.testID] > 0, "%s was answered and did not run", s.testID)
			}
		}
		if onlyNotRun {
			tally.onlyNotRun++
			assert.Equal(t, front[s.testID]+deep[s.testID], 0, "%s was reported as not run: %+v", s.testID, s.codes())
		}
		if s.key != "" {
			assert.Assert(t, front[s.testID] <= 1, "%s ran %d times: %v", s.testID, front[s.testID], s.codes())
			assert.Assert(t, deep[s.testID] <= 1, "the child of %s ran %d times", s.testID, deep[s.testID])
		}
	}
	t.Logf("%+v", tally)
	assert.Assert(t, tally.answered > len(requests)/4, "%+v", tally)
	assert.Assert(t, tally.onlyNotRun > 0 && tally.unknown > 0 && tally.aborted > 0, "the faults had no effect: %+v", tally)
}

func (s *sized) codes() []string {
	var codes []string
	for _, r := range s.replies {
		codes = append(codes, fmt.Sprintf("%d/%s/%s", r.status, r.code, r.run))
	}
	return codes
}
