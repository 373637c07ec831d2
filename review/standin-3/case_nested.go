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
	// lookups is the number of calls that a search makes for its result, one for each car.
	lookups = 10
	// searchInterval is the time between two searches of all clients together.
	searchInterval = 200 * time.Millisecond
	// failedPercent is the share of the searches that the workers fail, failingTime how long they do.
	failedPercent = 55
	failingTime   = 8500 * time.Millisecond
)

// lookupArrivals are the arrivals at the workers that are looked up.
type lookupArrivals struct {
	mu sync.Mutex
	// searches counts the arrivals of each search, lookups those of each call.
	searches, lookups map[string]int
	// sent holds when each call was sent, repeats when arrivals came that count as repeats.
	sent, repeats []time.Time
}

// nestedCase: the workers of a service fail part of their requests, each of which makes calls of its own.
func nestedCase(newFleet func(services ...string) (*fleet, error), c *record, trouble bool) error {
	f, err := newFleet("search", "search", "history", "history")
	if err != nil {
		return err
	}
	f.configure(
		1,
		route{prefix: "/search/", kind: "safe", service: "search", priority: 2, maxAttempts: 2, timeout: 1200 * time.Millisecond, target: 1500 * time.Millisecond},
		route{prefix: "/vin/", kind: "safe", service: "history", priority: 2, maxAttempts: 2, timeout: 700 * time.Millisecond, target: 300 * time.Millisecond},
	)
	got := &lookupArrivals{searches: make(map[string]int), lookups: make(map[string]int)}
	inner := newClient(c)
	failing := false
	for i, n := range f.nodes {
		k := &worker{node: n, id: fmt.Sprintf("i-00000%d", i+1), born: time.Now().UnixMilli(), slots: 36, record: c}
		search := func(w http.ResponseWriter, r *http.Request, id string) {
			got.mu.Lock()
			got.searches[id]++
			repeat := got.searches[id] > 1
			fail := failing && rand.IntN(100) < failedPercent
			got.mu.Unlock()
			c.add("worker %s runs %s, repeat %t", k.id, id, repeat)
			good := k.lookUp(r.Context(), inner, id, repeat, got)
			k.stamp(w.Header())
			if fail || !good {
				w.WriteHeader(http.StatusInternalServerError)
			}
			_, _ = fmt.Fprintf(w, "answer to %s\n", id)
		}
		vin := func(w http.ResponseWriter, r *http.Request, id string) {
			got.mu.Lock()
			got.lookups[id]++
			if got.lookups[id] > 1 || r.Header.Get(repeatMark) != "" {
				got.repeats = append(got.repeats, time.Now())
			}
			got.mu.Unlock()
			c.add("worker %s runs %s", k.id, id)
			time.Sleep(5 * time.Millisecond)
			k.stamp(w.Header())
			_, _ = fmt.Fprintf(w, "answer to %s\n", id)
		}
		k.run = search
		if n.service == "history" {
			k.run = vin
		}
		f.workers = append(f.workers, k)
	}
	if err := f.boot(f.workers...); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := newClient(c)
	done := make(chan []answer, len(f.nodes))
	for _, n := range f.nodes {
		go func() {
			done <- clients.load(ctx, n, "/search/1", time.Duration(len(f.nodes))*searchInterval, 5*time.Second)
		}()
	}
	time.Sleep(budgetSpan)
	got.mu.Lock()
	failing = trouble
	got.mu.Unlock()
	time.Sleep(failingTime)
	got.mu.Lock()
	failing = false
	got.mu.Unlock()
	time.Sleep(2 * time.Second)
	cancel()
	for range f.nodes {
		<-done
	}
	got.mu.Lock()
	defer got.mu.Unlock()
	return checkBudget(c, "the service that is called", got.repeats, got.sent)
}

// repeatMark is a header of the stand-ins only: the call was made by a run that was itself a repeat.
const repeatMark = "X-Review-Repeat"

// lookUp makes the calls of one run at the same time and reports whether all succeeded.
func (k *worker) lookUp(ctx context.Context, inner *client, id string, repeat bool, got *lookupArrivals) bool {
	results := make(chan bool, lookups)
	for i := range lookups {
		go func() {
			header := http.Header{}
			if repeat {
				header.Set(repeatMark, "1")
			}
			got.mu.Lock()
			got.sent = append(got.sent, time.Now())
			got.mu.Unlock()
			a := inner.send(ctx, k.node, "/vin/1", fmt.Sprintf("%s.%d%s", id, i, newID()), 700*time.Millisecond, header)
			results <- a.status == http.StatusOK
		}()
	}
	good := true
	for range lookups {
		good = <-results && good
	}
	return good
}

// checkBudget returns an error if more repeats fall into some window than the rule allows. Calls of
// repeated runs count as requests too.
func checkBudget(c *record, service string, repeats, sent []time.Time) error {
	in := func(times []time.Time, from time.Time) int {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(budgetSpan)) {
				n++
			}
		}
		return n
	}
	over, text := 0.0, "no arrivals beyond the first of each request"
	for i, from := range repeats {
		requests := max(in(sent, from), in(sent, from.Add(-budgetSpan/2)), in(sent, from.Add(-budgetSpan)))
		allowed := budgetRatio*float64(requests) + budgetSlack
		seen := in(repeats, from)
		if excess := float64(seen) - allowed; i == 0 || excess > over {
			over, text = excess, fmt.Sprintf("%d arrivals beyond the first of each request at %s in a window, allowed %.1f (%d requests)", seen, service, allowed, requests)
		}
	}
	c.conclude("%s", text)
	if over > 0 {
		return errRule{fmt.Errorf("BUDGET: %s", text)}
	}
	return nil
}
