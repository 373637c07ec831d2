//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// reportCalls is the number of calls that a report makes, one after the other, callWork how
	// long each of them runs.
	reportCalls = 17
	callWork    = 280 * time.Millisecond
	// lateAfterStop is how long after SIGTERM a request has to be sent that is no longer excused
	// by being at work at the end of the grace period.
	lateAfterStop = 3 * time.Second
)

// calledRequest is one call that a worker made through the node beside it.
type calledRequest struct {
	id             string
	sent, answered time.Time
	deadline       time.Time
	status         int
	stamped        bool
	err            error
}

// caseStop checks LOST: the node beside a worker that makes calls of its own is stopped.
func caseStop(f *fleet, trouble bool) (bool, string) {
	var mu sync.Mutex
	var calls []calledRequest
	var dropped sync.Map
	f.start([]string{"istoric", "cautare", "galerie", "galerie"}, configuration(
		rule("r-report", "safe", "/report/", "istoric", 2, "2500ms", "5000ms"),
		rule("r-info", "safe", "/info/", "galerie", 1, "800ms", "2000ms"),
	), func(n *node) {
		if n.service != "istoric" {
			w := startWorker(n, 36, workFor(callWork))
			w.onDrop = func(id string, at time.Time) { dropped.Store(id, at) }
			return
		}
		startWorker(n, 13, func(r *http.Request) time.Duration {
			left, _ := strconv.Atoi(r.Header.Get("X-Mustardwing-Deadline-Ms"))
			deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
			for k := 1; k <= reportCalls && r.Context().Err() == nil; k++ {
				c := callFrom(f, n, fmt.Sprintf("%s.%d", r.Header.Get("X-Mustardwing-Request-Id"), k), deadline)
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
				if c.status != http.StatusOK {
					return failedWork
				}
			}
			return 0
		})
	})
	time.Sleep(stableBound + time.Second)
	stopping, entry := f.nodes[0], f.nodes[1]
	var reports sync.WaitGroup
	var answered atomic.Int64
	started := time.Now()
	var stopped time.Time
	for i := range 10 {
		time.Sleep(time.Until(started.Add(time.Duration(i) * 200 * time.Millisecond)))
		if i == 4 {
			stopped = time.Now()
			if trouble {
				f.record.note("%s: SIGTERM", stopping.name)
				stopping.signal(syscall.SIGTERM)
			}
		}
		reports.Go(func() {
			if report(f, entry) == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	if trouble {
		select {
		case <-stopping.signal(0):
			f.record.note("%s: node process ended %.3f s after SIGTERM", stopping.name, time.Since(stopped).Seconds())
		case <-time.After(time.Until(stopped.Add(gracePeriod))):
			f.record.note("%s: SIGKILL at the end of the grace period", stopping.name)
			<-stopping.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		stopping.startProcess()
	}
	reports.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, c := range calls {
		at, broken := dropped.Load(c.id)
		if !broken || c.stamped || c.sent.Sub(stopped) <= lateAfterStop || !c.answered.Before(c.deadline.Add(-100*time.Millisecond)) || c.answered.Sub(c.sent) > 1900*time.Millisecond {
			continue
		}
		lost++
		f.record.note("LOST: call %s was sent %.3f s after SIGTERM and broken off %.3f s after it while its worker was at work; status %d, error %v, %.3f s before its deadline",
			c.id, c.sent.Sub(stopped).Seconds(), at.(time.Time).Sub(stopped).Seconds(), c.status, c.err, c.deadline.Sub(c.answered).Seconds())
	}
	return lost > 0, fmt.Sprintf("%d of %d calls of the worker were broken off by its node while their worker was at work, sent later than %s after SIGTERM; %d of 10 reports were answered", lost, len(calls), lateAfterStop, answered.Load())
}

// callFrom makes a call of the worker on a machine through the node beside it.
func callFrom(f *fleet, n *node, id string, deadline time.Time) calledRequest {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.address(n.ports.outbound)+"/info/"+id, nil)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Mustardwing-Request-Id", id)
	r.Header.Set("X-Mustardwing-Deadline-Ms", fmt.Sprint(max(1, time.Until(deadline).Milliseconds())))
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	c := calledRequest{id: id, sent: time.Now(), deadline: deadline}
	f.record.note("worker at %s calls %s", n.name, id)
	response, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		c.status, c.stamped = response.StatusCode, response.Header.Get("X-Mustardwing-Server-Stamp") != ""
	}
	c.answered, c.err = time.Now(), err
	f.record.note("worker at %s: call %s is answered %d, error %v", n.name, id, c.status, err)
	return c
}

// report sends one request for a report and returns the status of its answer.
func report(f *fleet, n *node) int {
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	r, err := http.NewRequest(http.MethodGet, "http://"+n.address(n.ports.outbound)+"/report/"+id, nil)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Mustardwing-Request-Id", id)
	r.Header.Set("X-Mustardwing-Deadline-Ms", "10000")
	client := &http.Client{Timeout: 11 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	f.record.note("client at %s sends %s", n.name, id)
	response, err := client.Do(r)
	if err != nil {
		f.record.note("client at %s: %s ends without an answer: %v", n.name, id, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	f.record.note("client at %s: %s is answered %d", n.name, id, response.StatusCode)
	return response.StatusCode
}
