package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// workTime is how long a request runs.
const workTime = 50 * time.Millisecond

// arrivals are the requests that one start of a worker got.
type arrivals struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (a *arrivals) note(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at == nil {
		a.at = make(map[string]time.Time)
	}
	if _, known := a.at[id]; !known {
		a.at[id] = time.Now()
	}
}

// lateAfter returns the requests that arrived after a time, with the latest delay.
func (a *arrivals) lateAfter(end time.Time) (count int, most time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at {
		if at.After(end) {
			count++
			most = max(most, at.Sub(end))
		}
	}
	return count, most
}

// serving is a worker that runs each request for a while and answers with success.
func (f *fleet) serving(n *node, id string, born int64, work time.Duration, got *arrivals) *worker {
	k := &worker{node: n, id: id, born: born, slots: 36, record: f.record}
	k.run = func(w http.ResponseWriter, r *http.Request, request string) {
		if got != nil {
			got.note(request)
		}
		f.record.add("worker %s (born %d) runs %s", k.id, k.born, request)
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		k.stamp(w.Header())
		_, _ = fmt.Fprintf(w, "answer to %s\n", request)
	}
	f.workers = append(f.workers, k)
	return k
}

// boot starts nodes and workers and waits until the nodes are ready.
func (f *fleet) boot(workers ...*worker) error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, k := range workers {
		if err := k.start(0, true); err != nil {
			return err
		}
	}
	return f.awaitReady(15 * time.Second)
}

// leaveCase runs clients at node 3 and the given course of events at node 1, whose worker leaves, and
// checks the rule DRAIN for the start of the worker that has left.
func leaveCase(newFleet func(services ...string) (*fleet, error), course func(f *fleet, got *arrivals) (*worker, error)) error {
	f, err := newFleet("web", "web", "shop")
	if err != nil {
		return err
	}
	f.configure(1, route{prefix: "/search/", kind: "safe", service: "web", priority: 2, maxAttempts: 2, timeout: 1200 * time.Millisecond, target: 1500 * time.Millisecond})
	second := f.serving(f.nodes[1], "i-000000b2", time.Now().UnixMilli(), workTime, nil)
	third := f.serving(f.nodes[2], "i-000000c3", time.Now().UnixMilli(), workTime, nil)
	if err := f.boot(second, third); err != nil {
		return err
	}
	var got arrivals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := newClient(f.record)
	done := make(chan []answer, 1)
	go func() { done <- clients.load(ctx, f.nodes[2], "/search/1", 50*time.Millisecond, 5*time.Second) }()
	leaver, err := course(f, &got)
	if err != nil {
		return err
	}
	acknowledged, err := leaver.deregister()
	if err != nil {
		return err
	}
	time.Sleep(time.Until(acknowledged.Add(8 * time.Second)))
	cancel()
	served := 0
	answers := <-done
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	f.record.conclude("%d requests, %d served; the worker that left got %d", len(answers), served, len(got.at))
	if len(got.at) == 0 {
		return errors.New("the worker got no request before it left")
	}
	if late, most := got.lateAfter(acknowledged.Add(drainBound)); late > 0 {
		return errRule{fmt.Errorf("DRAIN: %d requests reached the worker later than %s after the acknowledgement, the last of them %s later than that", late, drainBound, most)}
	}
	return nil
}

// sameID: a worker starts again under its id. Its first heartbeat is late, and it leaves meanwhile.
func sameID(newFleet func(services ...string) (*fleet, error), _ *record, trouble bool) error {
	return leaveCase(newFleet, func(f *fleet, got *arrivals) (*worker, error) {
		first := f.serving(f.nodes[0], "i-000000a1", time.Now().UnixMilli(), workTime, nil)
		if err := first.start(0, true); err != nil {
			return nil, err
		}
		time.Sleep(stable + time.Second)
		first.crash()
		time.Sleep(500 * time.Millisecond)
		again := f.serving(first.node, first.id, time.Now().UnixMilli(), workTime, got)
		late := time.Duration(0)
		if trouble {
			late = 3 * time.Second
		}
		if err := again.start(late, false); err != nil {
			return nil, err
		}
		time.Sleep(1200 * time.Millisecond)
		return again, nil
	})
}

// lateHeartbeat is how late the heartbeat of veryLate arrives, serveOn how long its worker serves after the
// acknowledgement.
const (
	lateHeartbeat = 8 * time.Second
	serveOn       = 12 * time.Second
)

// veryLate: a heartbeat is under way while its worker leaves, the store is down and all nodes are killed.
func veryLate(newFleet func(services ...string) (*fleet, error), c *record, trouble bool) error {
	f, err := newFleet("web", "web", "shop")
	if err != nil {
		return err
	}
	f.configure(1, route{prefix: "/search/", kind: "safe", service: "web", priority: 2, maxAttempts: 2, timeout: 1200 * time.Millisecond, target: 1500 * time.Millisecond})
	var got arrivals
	var workers []*worker
	for i, n := range f.nodes {
		var seen *arrivals
		if i == 0 {
			seen = &got
		}
		workers = append(workers, f.serving(n, fmt.Sprintf("i-00000%d", i+1), time.Now().UnixMilli(), workTime, seen))
	}
	if err := f.boot(workers...); err != nil {
		return err
	}
	time.Sleep(stable)
	leaver := workers[0]
	body := leaver.heartbeat("ready")
	sent := time.Now()
	c.add("worker %s sends the heartbeat %s, which is under way for %s", leaver.id, body, lateHeartbeat)
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		if !sleep(leaver.ctx, time.Until(sent.Add(lateHeartbeat))) {
			return
		}
		status, err := leaver.post("heartbeat", body)
		c.add("the late heartbeat arrives: status %d, error %v", status, err)
	}()
	time.Sleep(100 * time.Millisecond)
	if trouble {
		c.add("the store goes down")
		f.store.down.Store(true)
	}
	time.Sleep(200 * time.Millisecond)
	acknowledged, err := leaver.deregister()
	if err != nil {
		return err
	}
	calm := acknowledged
	if trouble {
		time.Sleep(200 * time.Millisecond)
		if err := f.killAll(600 * time.Millisecond); err != nil {
			return err
		}
		f.store.down.Store(false)
		c.add("the store is back")
		calm = time.Now()
	}
	// From here on all machines and the store are calm for the time that the rules ask.
	time.Sleep(time.Until(calm.Add(stable + 100*time.Millisecond)))
	ctx, cancel := context.WithDeadline(context.Background(), acknowledged.Add(serveOn))
	defer cancel()
	answers := newClient(c).load(ctx, f.nodes[2], "/search/1", 50*time.Millisecond, 5*time.Second)
	<-arrived
	late, most := got.lateAfter(acknowledged.Add(drainBound))
	c.conclude("%d requests; %d of them reached the worker that had left", len(answers), late)
	if late > 0 {
		return errRule{fmt.Errorf("DRAIN: %d requests reached the worker later than %s after the acknowledgement, the last of them %s later than that", late, drainBound, most)}
	}
	return nil
}

// killAll kills the processes of all nodes at the same moment and starts them again.
func (f *fleet) killAll(down time.Duration) error {
	for _, n := range f.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		<-n.exited
	}
	time.Sleep(down)
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}
