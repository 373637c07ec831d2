//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failEvery is the part of its requests that the worker runs and fails, strayEvery the part of
	// its answers before which stray bytes stand. Both depend on the number of the request only.
	failEvery  = 50
	strayEvery = 40
)

// answer is the worker's answer to a request that it has run.
const answer = "HTTP/1.1 %s\r\nDate: %s\r\nContent-Type: text/plain\r\nX-Mustardwing-Request-Id: %s\r\nX-Mustardwing-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s"

// caseMixed checks MIXED: one of the workers of a service sends the beginning of an earlier answer
// once more before some of its answers, of which it fails some in any case.
func caseMixed(f *fleet, trouble bool) (bool, string) {
	var garbled atomic.Int64
	runs := &runLog{runs: make(map[string][]string)}
	failed := &idSet{ids: make(map[string]bool)}
	f.start([]string{"plati", "plati", "cautare", "cautare"}, configuration(
		rule("r-pay", "unsafe", "/pay/", "plati", 0, "2000ms", "1500ms"),
	), func(n *node) {
		if n.name != "sidecar-2" {
			startWorker(n, 36, workFor(100*time.Millisecond))
			return
		}
		w := startRawWorker(n, runs, &garbled)
		w.garble.Store(trouble)
		w.respond = func(c net.Conn, state *connState, id string, n, size int64) bool {
			return w.failSome(c, state, failed, id, n, size)
		}
	})
	time.Sleep(stableBound + time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), garbleDuration)
	defer cancel()
	var requests, mixed atomic.Int64
	var clients sync.WaitGroup
	for range 4 {
		for _, n := range f.nodes {
			clients.Go(func() {
				client := &http.Client{Timeout: 5 * time.Second}
				for ctx.Err() == nil {
					id := fmt.Sprintf("%016x", requestNumber.Add(1))
					requests.Add(1)
					if pay(f, client, n, id) == http.StatusOK && failed.has(id) {
						mixed.Add(1)
						f.record.note("MIXED: the client got a success for request %s, which the worker had answered with a failure", id)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	return mixed.Load() > 0, fmt.Sprintf("%d of %d unsafe requests were answered with a success where the worker had answered with a failure; the worker failed %d, and %d answers came after stray bytes", mixed.Load(), requests.Load(), failed.count(), garbled.Load())
}

// failSome runs a request and fails some. It sends the beginning of its last answer on the
// connection, up to a place in the value of the first header, once more before some answers.
func (w *rawWorker) failSome(c net.Conn, state *connState, failed *idSet, id string, n, size int64) bool {
	w.run(id)
	stray := state.last != "" && w.garble.Load() && n%strayEvery == 0
	if stray {
		w.sendStray(c, id, state.last[:strings.Index(state.last, "Date: ")+len("Date: Sat, 05")])
	}
	status, body := "200 OK", fmt.Sprintf("answer of %s to %s with %d bytes", w.id, id, size)
	if n%failEvery == 0 {
		status, body = "500 Internal Server Error", fmt.Sprintf("%s could not book request %s", w.id, id)
		failed.add(id)
		w.node.fleet.record.note("worker %s answers %s with a failure", w.id, id)
	}
	full := fmt.Sprintf(answer, status, time.Now().UTC().Format(http.TimeFormat), id, "stamp-"+w.id, len(body), body)
	_, err := io.WriteString(c, full)
	state.last = ""
	if strings.HasPrefix(status, "200") {
		state.last = full
	}
	return err == nil && !stray
}

// idSet is a set of the ids of requests.
type idSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (s *idSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = true
}

func (s *idSet) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

func (s *idSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}
