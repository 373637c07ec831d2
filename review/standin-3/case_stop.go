package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// A long report makes calls for longReport, one after the other; a short one makes none.
	longReport   = 4500 * time.Millisecond
	shortReport  = 50 * time.Millisecond
	longReports  = 18
	shortReports = 100
	// One call in slowEvery takes slowCall, all others quickCall.
	slowEvery = 25
	slowCall  = 600 * time.Millisecond
	quickCall = 50 * time.Millisecond
	// The operator's timeouts of the two routes, and the deadline that the clients state.
	reportTimeout = 5 * time.Second
	callTimeout   = 2 * time.Second
	reportPatient = 10 * time.Second
)

// call is a call that a worker makes while it runs a report.
type call struct {
	id             string
	sent, answered time.Time
	deadline       time.Duration
	status         int
	stamped        bool
	err            error
}

// stopCase: a node is stopped while the worker beside it runs long reports.
func stopCase(newFleet func(services ...string) (*fleet, error), c *record, trouble bool) error {
	f, err := newFleet("reports", "history", "shop")
	if err != nil {
		return err
	}
	f.configure(
		1,
		route{prefix: "/report/", kind: "safe", service: "reports", priority: 2, maxAttempts: 2, timeout: reportTimeout, target: 2500 * time.Millisecond},
		route{prefix: "/vin/", kind: "safe", service: "history", priority: 1, maxAttempts: 2, timeout: callTimeout, target: 1500 * time.Millisecond},
	)
	var mu sync.Mutex
	var calls []call
	ended := make(map[string]time.Time)
	var counter atomic.Int64
	inner := newClient(c)
	reports := &worker{node: f.nodes[0], id: "i-000000a1", born: time.Now().UnixMilli(), slots: 36, record: c}
	reports.run = func(w http.ResponseWriter, r *http.Request, id string) {
		c.add("worker %s runs %s %s", reports.id, id, r.URL.Path)
		if !strings.HasPrefix(r.URL.Path, "/report/long") {
			time.Sleep(shortReport)
		}
		started := time.Now()
		left, _ := time.ParseDuration(r.Header.Get("X-Mustardwing-Deadline-Ms") + "ms")
		status := http.StatusOK
		for i := 0; strings.HasPrefix(r.URL.Path, "/report/long") && time.Since(started) < longReport && r.Context().Err() == nil; i++ {
			deadline := left - time.Since(started)
			a := inner.send(r.Context(), reports.node, "/vin/1", fmt.Sprintf("%s.%d", id, i), deadline, nil)
			mu.Lock()
			calls = append(calls, call{id: a.id, sent: a.sent, answered: time.Now(), deadline: deadline, status: a.status, stamped: a.stamp != "", err: a.err})
			mu.Unlock()
			if a.status != http.StatusOK {
				status = http.StatusInternalServerError
				break
			}
			time.Sleep(15 * time.Millisecond)
		}
		reports.stamp(w.Header())
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, "answer to %s\n", id)
	}
	history := &worker{node: f.nodes[1], id: "i-000000b2", born: time.Now().UnixMilli(), slots: 36, record: c}
	history.run = func(w http.ResponseWriter, r *http.Request, id string) {
		work := quickCall
		if counter.Add(1)%slowEvery == 0 {
			work = slowCall
		}
		c.add("worker %s runs %s for %s", history.id, id, work)
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			mu.Lock()
			ended[id] = time.Now()
			mu.Unlock()
			c.add("worker %s is cut off at work on %s", history.id, id)
			return
		}
		history.stamp(w.Header())
		_, _ = fmt.Fprintf(w, "answer to %s\n", id)
	}
	f.workers = append(f.workers, reports, history)
	if err := f.boot(reports, history); err != nil {
		return err
	}
	time.Sleep(stable)
	clients := newClient(c)
	for range shortReports {
		if a := clients.get(context.Background(), f.nodes[2], "/report/short", reportPatient); a.status != http.StatusOK {
			return fmt.Errorf("a short report got status %d, error %v", a.status, a.err)
		}
	}
	stopped := time.Now()
	if trouble {
		f.nodes[0].signal(syscall.SIGTERM)
	}
	time.Sleep(700 * time.Millisecond)
	var open sync.WaitGroup
	for range longReports {
		open.Add(1)
		go func() {
			defer open.Done()
			clients.get(context.Background(), f.nodes[2], "/report/long", reportPatient)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	open.Wait()
	return checkStop(c, calls, ended, stopped)
}

// checkStop returns an error if calls that were sent later than 3 s after the stop were broken off while their
// worker was at work.
func checkStop(c *record, calls []call, ended map[string]time.Time, stopped time.Time) error {
	late, cut := 0, 0
	for _, k := range calls {
		if k.sent.Sub(stopped) <= 3*time.Second || k.answered.Sub(stopped) > gracePeriod+time.Second {
			continue
		}
		late++
		at, atWork := ended[k.id]
		if k.stamped || !atWork {
			continue
		}
		used := k.answered.Sub(k.sent)
		if used >= k.deadline-50*time.Millisecond || used >= callTimeout-50*time.Millisecond {
			continue
		}
		cut++
		c.conclude("call %s, sent %s after the stop with %s left, got status %d, error %v after %s; its worker was at work until %s after the stop",
			k.id, k.sent.Sub(stopped).Round(time.Millisecond), k.deadline.Round(time.Millisecond), k.status, k.err, used.Round(time.Millisecond), at.Sub(stopped).Round(time.Millisecond))
	}
	c.conclude("%d calls, %d of them sent later than 3 s after the stop, %d of these broken off while their worker was at work", len(calls), late, cut)
	if late == 0 {
		return fmt.Errorf("no call was sent late enough")
	}
	if cut > 0 {
		return errRule{fmt.Errorf("LOST: %d requests that were sent later than 3 s after SIGTERM were broken off while their worker was at work", cut)}
	}
	return nil
}
