//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// worker plays one worker beside a node.
type worker struct {
	node  *node
	id    string
	slots int
	// work is how long a request runs, or failedWork.
	work func(r *http.Request) time.Duration
	// onRun, unless nil, is called when a request begins to run.
	onRun func(id string, at time.Time)
	// onDrop, unless nil, is called when a request ends because its connection was closed.
	onDrop func(id string, at time.Time)

	server  *http.Server
	born    int64
	seq     atomic.Int64
	running atomic.Int64
	stop    context.CancelFunc

	mu   sync.Mutex
	runs map[string]int
}

// failedWork is the result of a run that fails because a call that it needs has failed.
const failedWork = -1

var workerNumber atomic.Int64

// startWorker starts a worker that sends heartbeats.
func startWorker(n *node, slots int, work func(*http.Request) time.Duration) *worker {
	w := &worker{node: n, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+workerNumber.Add(1)), slots: slots, work: work, born: time.Now().UnixMilli(), runs: make(map[string]int)}
	l, err := net.Listen("tcp", n.address(n.ports.app))
	if err != nil {
		panic(unable{err.Error()})
	}
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.sendHeartbeats(ctx)
	n.fleet.record.note("%s: worker %s of %s started", n.name, w.id, n.service)
	return w
}

func (w *worker) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		w.sendHeartbeat()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) sendHeartbeat() bool {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"cold_remaining":"0ms"}}`,
		w.node.address(w.node.ports.app), w.born, w.node.service, w.node.zone, w.slots, w.seq.Add(1))
	return w.post("heartbeat", body)
}

// post makes a call to the node's control address and reports whether it was acknowledged
// within a second.
func (w *worker) post(call, body string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+w.node.address(w.node.ports.control)+"/v1/instances/"+w.id+"/"+call, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// deregister ends the heartbeats and deregisters until the node acknowledges it. It returns when
// the node did.
func (w *worker) deregister() time.Time {
	w.stop()
	time.Sleep(50 * time.Millisecond)
	w.node.fleet.record.note("%s: worker %s sends deregister", w.node.name, w.id)
	for range 8 {
		if w.post("deregister", fmt.Sprintf(`{"born":%d}`, w.born)) {
			now := time.Now()
			w.node.fleet.record.note("%s: deregister of worker %s is acknowledged", w.node.name, w.id)
			return now
		}
		time.Sleep(500 * time.Millisecond)
	}
	panic(unable{"the deregister call was not acknowledged"})
}

// close ends the worker.
func (w *worker) close() {
	w.stop()
	_ = w.server.Close()
	w.node.fleet.record.note("%s: worker %s ended", w.node.name, w.id)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("X-Mustardwing-Request-Id")
	rw.Header().Set("X-Mustardwing-Request-Id", id)
	if expected := r.Header.Get("X-Mustardwing-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Mustardwing-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.running.Add(1) > int64(w.slots) {
		w.running.Add(-1)
		rw.Header().Set("X-Mustardwing-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.node.fleet.record.note("worker %s on %s runs request %s", w.id, w.node.name, id)
	if w.onRun != nil {
		w.onRun(id, arrived)
	}
	work := w.work(r)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		w.node.fleet.record.note("worker %s drops request %s: its connection was closed", w.id, id)
		if w.onDrop != nil {
			w.onDrop(id, time.Now())
		}
		return
	}
	body := fmt.Sprintf("answer of %s to %s with %d bytes", w.id, id, size)
	rw.Header().Set("X-Mustardwing-Server-Stamp", "stamp-"+w.id)
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if work == failedWork {
		rw.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(rw, body)
}

// ran returns how often the worker ran a request.
func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// workFor returns a work function with a fixed duration.
func workFor(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}
