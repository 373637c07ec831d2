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

// healthPath is the path of the workers' health check.
const healthPath = "/healthz"

// heartbeatInterval is the interval of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// worker is one start of a worker. Its fields are set before start.
type worker struct {
	node   *node
	id     string
	born   int64
	slots  int
	record *record
	// run answers a request. It is called only for requests that this worker may run, and writes the
	// whole response.
	run func(w http.ResponseWriter, r *http.Request, id string)

	server  *http.Server
	client  *http.Client
	seq     atomic.Int64
	leaving atomic.Bool
	stop    context.CancelFunc
	ctx     context.Context
	ended   sync.WaitGroup
}

// start listens and sends heartbeats. The first one is sent after delay, and later ones only if
// periodic is set.
func (k *worker) start(delay time.Duration, periodic bool) error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", k.node.address(portApp)); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	k.client = &http.Client{Timeout: time.Second}
	k.ctx, k.stop = context.WithCancel(context.Background())
	k.server = &http.Server{Handler: k, IdleTimeout: 10 * time.Second}
	k.ended.Add(1)
	go func() {
		defer k.ended.Done()
		_ = k.server.Serve(l)
	}()
	k.record.add("worker %s starts at node %d, born %d", k.id, k.node.index, k.born)
	k.ended.Add(1)
	go func() {
		defer k.ended.Done()
		k.heartbeats(delay, periodic)
	}()
	return nil
}

func (k *worker) heartbeats(delay time.Duration, periodic bool) {
	for {
		state := "ready"
		body := k.heartbeat(state)
		if delay > 0 {
			k.record.add("worker %s (born %d) says %q; the message is %s late", k.id, k.born, body, delay)
		}
		if !sleep(k.ctx, delay) {
			return
		}
		status, err := k.post("heartbeat", body)
		if delay > 0 {
			k.record.add("the late message of worker %s (born %d) arrives: status %d, error %v", k.id, k.born, status, err)
			delay = 0
		}
		if !periodic || !sleep(k.ctx, heartbeatInterval) || k.leaving.Load() {
			return
		}
	}
}

func (k *worker) heartbeat(state string) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z-a","slots":%d},"status":{"state":%q,"seq":%d,"cold_remaining":"0ms"}}`,
		k.node.address(portApp), k.born, k.node.service, k.slots, state, k.seq.Add(1))
}

// post sends a message to the control address of the worker's machine.
func (k *worker) post(message, body string) (int, error) {
	r, err := http.NewRequestWithContext(k.ctx, http.MethodPost, "http://"+k.node.address(portControl)+"/v1/instances/"+k.id+"/"+message, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := k.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// deregister says that the worker leaves and returns when that was acknowledged. It goes on serving.
func (k *worker) deregister() (time.Time, error) {
	k.leaving.Store(true)
	status, err := k.post("deregister", fmt.Sprintf(`{"born":%d}`, k.born))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	acknowledged := time.Now()
	k.record.add("worker %s (born %d) deregisters: acknowledged, error %v", k.id, k.born, err)
	return acknowledged, err
}

// crash ends the worker without a word.
func (k *worker) crash() {
	k.record.add("worker %s (born %d) ends", k.id, k.born)
	k.stop()
	_ = k.server.Close()
	k.ended.Wait()
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("X-Mustardwing-Instance-Id", k.id)
		if k.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Mustardwing-Request-Id")
	if id != "" {
		w.Header().Set("X-Mustardwing-Request-Id", id)
	}
	w.Header().Set("X-Mustardwing-Instance-Id", k.id)
	expected := r.Header.Get("X-Mustardwing-Expect-Instance")
	if expected != "" && expected != k.id {
		w.Header().Set("X-Mustardwing-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Mustardwing-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.run(w, r, id)
}

// stamp marks a response as the worker's own.
func (k *worker) stamp(h http.Header) {
	h.Set("X-Mustardwing-Server-Stamp", fmt.Sprintf("%s.%x", k.id, k.born))
}

// sleep waits and reports whether ctx still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
