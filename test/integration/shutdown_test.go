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

// load sends calls from several workers until stop is closed and returns all
// replies.
func load(targets []string, workers int, stop <-chan struct{}) []reply {
	var mu sync.Mutex
	var replies []reply
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				r := send(request{target: targets[(w+i)%len(targets)], method: http.MethodGet, service: "search", kind: "lookup", testID: fmt.Sprintf("%d-%d", w, i)})
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return replies
}

// Guards against a graceful shutdown that cuts off a call in flight, loses one
// on its way to the leaving node, or cuts off child calls and uploads.
func TestGracefulShutdownCutsOffNoCall(t *testing.T) {
	f := startFleet(t, chain())
	leaving := f.Instances("search")[0]
	// Callers do not use the leaving node's own listener: a caller has to be told
	// by its own means that an address goes away.
	var targets []string
	for _, i := range f.Instances("") {
		if i != leaving {
			targets = append(targets, "http://"+i.Node.Addresses.Caller)
		}
	}
	stop := make(chan struct{})
	done := make(chan []reply)
	go func() { done <- load(targets, 20, stop) }()
	upload := make(chan reply, 1)
	go func() {
		upload <- send(request{
			target: "http://" + leaving.Node.Addresses.Caller, method: http.MethodPut, service: "history", kind: "upload",
			testID: "upload", body: &slowReader{chunks: 40, pause: 100 * time.Millisecond},
		})
	}()
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, leaving.Node.Terminate())
	<-leaving.Node.Done()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	for _, r := range <-done {
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, "code %s", r.code)
	}
	last := <-upload
	assert.NilError(t, last.err)
	assert.Equal(t, last.status, http.StatusOK, "code %s: %s", last.code, last.body)
	assert.Equal(t, leaving.Node.ExitCode(), 0, leaving.Node.Log())
}

// slowReader is an upload that takes chunks times pause.
type slowReader struct {
	chunks int
	pause  time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.chunks == 0 {
		return strings.NewReader("").Read(p)
	}
	s.chunks--
	time.Sleep(s.pause)
	return len(p), nil
}

// Guards against new work for an upstream that drains, also while the platform
// is away.
func TestDrainedUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t, chain())
	leaving := f.Instances("search")[0]
	assert.NilError(t, leaving.Drain())
	time.Sleep(drainNotice)
	before, err := leaving.Stats()
	assert.NilError(t, err)
	for i := range 100 {
		r := send(request{target: f.CallerURLs()[i%5], method: http.MethodGet, service: "search", kind: "lookup", testID: fmt.Sprint(i)})
		assert.Equal(t, r.status, http.StatusOK, "code %s", r.code)
	}
	after, err := leaving.Stats()
	assert.NilError(t, err)
	assert.Equal(t, after.Started, before.Started)
}

// drainNotice is the time after which a leaving upstream gets no new work.
const drainNotice = 3 * time.Second
