package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workerSlots = 36
	// workMS is how long a request runs.
	workMS = 100
)

var workers atomic.Int64

// worker is one incarnation of an application worker.
type worker struct {
	node   *node
	id     string
	born   int64
	server *http.Server
	client *http.Client
	seq    atomic.Int64
	// draining is set while heartbeats and the health check say that the worker leaves.
	draining atomic.Bool
	stop     context.CancelFunc
	exitOnce sync.Once
	// loseAnswers is how many in 100 requests run without an answer.
	loseAnswers atomic.Int64
	// answerBytes is the least size of the body of an answer.
	answerBytes atomic.Int64
	// readPause is how long a request waits before its body is read, in nanoseconds.
	readPause atomic.Int64
}

// answersLostPercent is the part of the answers of a worker that are lost, in 100.
const answersLostPercent = 40

// startWorker starts the worker beside a node and its heartbeats.
func startWorker(n *node) *worker {
	w := &worker{node: n, id: fmt.Sprintf("i-%08x", workers.Add(1)), born: time.Now().UnixMilli()}
	w.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	l, err := net.Listen("tcp", n.address(portApp))
	must(err)
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.beat(ctx)
	return w
}

// beat sends heartbeats until ctx ends.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		state := "ready"
		if w.draining.Load() {
			state = "draining"
		}
		_ = w.deliver(w.heartbeat(state))
		select {
		case <-ctx.Done():
		case <-time.After(boundHeartbeat):
		}
	}
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat(state string) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"ro-central-a","slots":%d},"status":{"state":%q,"seq":%d,"cold_remaining":"0ms"}}`,
		w.node.address(portApp), w.born, w.node.service, workerSlots, state, w.seq.Add(1))
}

// deliver brings a heartbeat to the node.
func (w *worker) deliver(body string) error {
	return w.post("heartbeat", body)
}

// deregister tells the node that the worker leaves, without a heartbeat before and after it.
func (w *worker) deregister() error {
	w.stop()
	w.draining.Store(true)
	return w.post("deregister", fmt.Sprintf(`{"born":%d}`, w.born))
}

func (w *worker) post(call, body string) error {
	response, err := w.client.Post("http://"+w.node.address(portControl)+"/v1/instances/"+w.id+"/"+call, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s of %s: status %d", call, w.id, response.StatusCode)
	}
	return nil
}

// exit ends the worker: its connections are closed.
func (w *worker) exit() {
	w.exitOnce.Do(func() {
		w.stop()
		_ = w.server.Close()
	})
}

// ServeHTTP runs a request, or says that the worker is another one than the expected.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		rw.Header().Set("X-Mustardwing-Instance-Id", w.id)
		if w.draining.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Mustardwing-Request-Id")
	rw.Header().Set("X-Mustardwing-Request-Id", id)
	if r.Header.Get("X-Mustardwing-Expect-Instance") != w.id {
		rw.Header().Set("X-Mustardwing-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f := w.node.fleet
	f.addRun(execution{id: id, service: w.node.service, instance: w.id, path: r.RequestURI, caller: r.Header.Get("X-Mustardwing-Caller-Service"), at: time.Now()})
	time.Sleep(time.Duration(w.readPause.Load()))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		f.record.note("worker %s: request %s broke off after %d bytes of its body: %v", w.id, id, len(body), err)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(workMS * time.Millisecond)
	if rand.Int64N(100) < w.loseAnswers.Load() {
		f.record.note("worker %s has run %s; its answer is lost", w.id, id)
		panic(http.ErrAbortHandler)
	}
	text := answer(id, len(body))
	text += strings.Repeat(".", max(0, int(w.answerBytes.Load())-len(text)))
	rw.Header().Set("X-Mustardwing-Server-Stamp", "stamp."+w.id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
	f.record.note("worker %s answers %s with 200 after %d bytes", w.id, id, len(body))
}

// answer is the body of the response to a request.
func answer(id string, bodyBytes int) string {
	return fmt.Sprintf("answer to %s with %d bytes", id, bodyBytes)
}
