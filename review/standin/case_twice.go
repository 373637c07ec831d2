//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleDuration is how long the worker is faulty.
	garbleDuration = 20 * time.Second
	// rejectEvery is the part of its requests that the worker rejects, garbleEvery the part of
	// its answers before which stray bytes stand.
	rejectEvery = 20
	garbleEvery = 40
)

// rejection is the worker's answer to a request that it does not run: with the date and the id.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Mustardwing-Not-Executed: 1\r\nContent-Type: text/plain; charset=utf-8\r\nDate: %s\r\nX-Mustardwing-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"

// caseTwice checks TWICE: one of the workers of a service sends the beginning of an earlier
// rejection, broken off at a random byte, once more before some of its answers.
func caseTwice(f *fleet, trouble bool) (bool, string) {
	var garbled atomic.Int64
	runs := &runLog{runs: make(map[string][]string)}
	var faulty *rawWorker
	f.start([]string{"plati", "plati", "cautare", "cautare"}, configuration(
		rule("r-pay", "unsafe", "/pay/", "plati", 0, "2000ms", "1500ms"),
	), func(n *node) {
		if n.name == "sidecar-2" {
			faulty = startRawWorker(n, runs, &garbled)
			faulty.respond = faulty.rejectSome
			return
		}
		w := startWorker(n, 36, workFor(100*time.Millisecond))
		w.onRun = func(id string, _ time.Time) { runs.add(id, w.id) }
	})
	faulty.garble.Store(trouble)
	time.Sleep(stableBound + time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), garbleDuration)
	defer cancel()
	sent := &sentRequests{at: make(map[string]sentRequest)}
	var clients sync.WaitGroup
	for range 4 {
		for _, n := range f.nodes {
			clients.Go(func() { payAll(ctx, f, n, sent) })
		}
	}
	clients.Wait()
	twice := 0
	for id, at := range runs.runs {
		if len(at) > 1 {
			twice++
			f.record.note("TWICE: unsafe request %s ran %d times, at %v", id, len(at), at)
		}
	}
	return twice > 0, fmt.Sprintf("%d of %d unsafe requests ran more than once; the faulty worker sent %d answers, %d of them after stray bytes", twice, sent.count(), faulty.answers.Load(), garbled.Load())
}

// runLog holds the workers that ran each request.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *runLog) add(id, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], worker)
}

// rawWorker plays a worker that writes its answers byte by byte as it likes.
type rawWorker struct {
	*worker
	runLog   *runLog
	garbled  *atomic.Int64
	garble   atomic.Bool
	requests atomic.Int64
	answers  atomic.Int64
	// respond writes the answer to a request, the n-th one of the worker, that is to be run. It
	// returns false to close the connection.
	respond func(c net.Conn, state *connState, id string, n, size int64) bool
}

// connState is what the faulty worker keeps of one connection.
type connState struct {
	// last is the last answer on the connection, empty before the first.
	last string
}

func startRawWorker(n *node, runs *runLog, garbled *atomic.Int64) *rawWorker {
	w := &rawWorker{runLog: runs, garbled: garbled}
	w.worker = &worker{node: n, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+workerNumber.Add(1)), slots: 36, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", n.address(n.ports.app))
	if err != nil {
		panic(unable{err.Error()})
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.sendHeartbeats(ctx)
	n.fleet.record.note("%s: worker %s of %s started, which is to be faulty", n.name, w.id, n.service)
	return w
}

// serve answers the requests of one connection.
func (w *rawWorker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	state := &connState{}
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Mustardwing-Request-Id")
		if expected := r.Header.Get("X-Mustardwing-Expect-Instance"); expected != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Mustardwing-Request-Id: %s\r\nX-Mustardwing-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
			continue
		}
		w.answers.Add(1)
		if !w.respond(c, state, id, w.requests.Add(1), size) {
			return
		}
	}
}

// run records that the worker runs a request, and runs it.
func (w *rawWorker) run(id string) {
	w.node.fleet.record.note("worker %s on %s runs request %s", w.id, w.node.name, id)
	w.runLog.add(id, w.id)
	time.Sleep(100 * time.Millisecond)
}

// sendStray writes bytes that are no answer.
func (w *rawWorker) sendStray(c net.Conn, id, stray string) {
	w.garbled.Add(1)
	w.node.fleet.record.note("worker %s sends %d stray bytes before its answer to %s: %q", w.id, len(stray), id, stray)
	_, _ = io.WriteString(c, stray)
}

// rejectSome rejects some requests and runs the others. After a rejection it may send the beginning
// of it once more before the next answer on the connection.
func (w *rawWorker) rejectSome(c net.Conn, state *connState, id string, n, size int64) bool {
	if n%rejectEvery == 0 {
		w.node.fleet.record.note("worker %s rejects request %s", w.id, id)
		state.last = fmt.Sprintf(rejection, time.Now().UTC().Format(http.TimeFormat), id)
		_, err := io.WriteString(c, state.last)
		return err == nil
	}
	w.run(id)
	stray := state.last != "" && w.garble.Load() && w.garbled.Load() < w.answers.Load()/garbleEvery
	if stray {
		w.sendStray(c, id, state.last[:1+rand.IntN(len(state.last)-1)])
	}
	state.last = ""
	body := fmt.Sprintf("answer of %s to %s with %d bytes", w.id, id, size)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Mustardwing-Request-Id: %s\r\nX-Mustardwing-Server-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, w.id, len(body), body)
	return err == nil && !stray
}
