package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// requestInterval is the time between two requests of all clients together.
	requestInterval = 65 * time.Millisecond
	// rejectedPercent is the share of the arrivals that the workers reject.
	rejectedPercent = 55
	// rejectingTime is how long they do.
	rejectingTime = 8500 * time.Millisecond
	kills         = 2
	killInterval  = 2600 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
)

// budgetCase: workers reject part of their requests, and all nodes are killed now and then.
func budgetCase(newFleet func(services ...string) (*fleet, error), c *record, trouble bool) error {
	f, err := newFleet("web", "web")
	if err != nil {
		return err
	}
	f.configure(1, route{prefix: "/search/", kind: "safe", service: "web", priority: 0, maxAttempts: 2, timeout: 1200 * time.Millisecond, target: 1500 * time.Millisecond})
	var mu sync.Mutex
	seen := map[string]int{}
	var again []time.Time
	rejecting := false
	count := 0
	var workers []*worker
	for i, n := range f.nodes {
		k := &worker{node: n, id: fmt.Sprintf("i-00000%d", i), born: time.Now().UnixMilli(), slots: 36, record: c}
		k.run = func(w http.ResponseWriter, r *http.Request, id string) {
			mu.Lock()
			seen[id]++
			if seen[id] > 1 {
				again = append(again, time.Now())
			}
			count++
			reject := rejecting && rand.IntN(100) < rejectedPercent
			mu.Unlock()
			if reject {
				c.add("worker %s rejects %s", k.id, id)
				w.Header().Set("X-Mustardwing-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			c.add("worker %s runs %s", k.id, id)
			time.Sleep(20 * time.Millisecond)
			k.stamp(w.Header())
			_, _ = fmt.Fprintf(w, "answer to %s\n", id)
		}
		f.workers = append(f.workers, k)
		workers = append(workers, k)
	}
	if err := f.boot(workers...); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := newClient(c)
	done := make(chan []answer, 4)
	for _, n := range f.nodes {
		go func() {
			done <- clients.load(ctx, n, "/search/1", time.Duration(len(f.nodes))*requestInterval, 5*time.Second)
		}()
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	rejecting = true
	began := time.Now()
	mu.Unlock()
	for range kills {
		time.Sleep(killInterval)
		if trouble {
			if err := f.killAll(restartDelay); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(began.Add(rejectingTime)))
	mu.Lock()
	rejecting = false
	mu.Unlock()
	time.Sleep(2 * time.Second)
	cancel()
	var sent []time.Time
	for range f.nodes {
		for _, a := range <-done {
			sent = append(sent, a.sent)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return checkBudget(c, "the service", again, sent)
}
