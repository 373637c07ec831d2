package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendUntilStopped sends calls from several concurrent callers until stop is closed and
// returns all responses.
func sendUntilStopped(targets []string, callers int, stop <-chan struct{}) []response {
	var mu sync.Mutex
	var responses []response
	var wg sync.WaitGroup
	for w := range callers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				r := send(request{target: targets[(w+i)%len(targets)], method: http.MethodGet, service: "search", kind: "lookup", testID: fmt.Sprintf("%d-%d", w, i)})
				mu.Lock()
				responses = append(responses, r)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return responses
}

// Guards against a graceful shutdown that interrupts an in-flight call, a nested call
// or an upload, or loses a call on its way to the leaving node.
func TestGracefulShutdownInterruptsNoCall(t *testing.T) {
	f := startFleet(t, chainDeployment())
	leaving := f.Instances("search")[0]
	// The calls do not use the leaving node's caller listener: a caller has to learn by
	// its own means that an address is no longer served.
	var targets []string
	for _, instance := range f.Instances("") {
		if instance != leaving {
			targets = append(targets, "http://"+instance.Node.Addresses.Caller)
		}
	}
	stop := make(chan struct{})
	finished := make(chan []response)
	go func() { finished <- sendUntilStopped(targets, 20, stop) }()
	upload := make(chan response, 1)
	go func() {
		upload <- send(request{
			target: "http://" + leaving.Node.Addresses.Caller, method: http.MethodPut, service: "history", kind: "upload",
			testID: "upload", body: &slowReader{chunks: 40, delay: 100 * time.Millisecond},
		})
	}()
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, leaving.Node.Terminate())
	<-leaving.Node.Done()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	for _, r := range <-finished {
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, "code %s", r.code)
	}
	uploaded := <-upload
	assert.NilError(t, uploaded.err)
	assert.Equal(t, uploaded.status, http.StatusOK, "code %s: %s", uploaded.code, uploaded.body)
	assert.Equal(t, leaving.Node.ExitCode(), 0, leaving.Node.Log())
}

// slowReader is an upload body of several chunks, each of which takes delay to read.
type slowReader struct {
	chunks int
	delay  time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.chunks == 0 {
		return strings.NewReader("").Read(p)
	}
	s.chunks--
	time.Sleep(s.delay)
	return len(p), nil
}

// Guards against nodes that still send new calls to an upstream once drainPropagation has
// passed since it announced that it drains.
func TestDrainedUpstreamReceivesNoNewCalls(t *testing.T) {
	f := startFleet(t, chainDeployment())
	draining := f.Instances("search")[0]
	assert.NilError(t, draining.Drain())
	time.Sleep(drainPropagation)
	before, err := draining.Stats()
	assert.NilError(t, err)
	for i := range 100 {
		r := send(request{target: f.CallerURLs()[i%5], method: http.MethodGet, service: "search", kind: "lookup", testID: fmt.Sprint(i)})
		assert.Equal(t, r.status, http.StatusOK, "code %s", r.code)
	}
	after, err := draining.Stats()
	assert.NilError(t, err)
	assert.Equal(t, after.Started, before.Started)
}

// drainPropagation is the time within which all nodes learn that an upstream drains.
const drainPropagation = 3 * time.Second
