//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outage is how long the store is down.
	outage = 4500 * time.Millisecond
	// lastsAfterLeave is how long the leaving worker serves on after its acknowledgement.
	lastsAfterLeave = 10 * time.Second
)

// caseLeave checks DRAIN: a worker deregisters while the store is down, and its node is
// stopped and started again. Its requests later than the drain bound after the
// acknowledgement are counted while the machines are in touch.
func caseLeave(f *fleet, trouble bool) (bool, string) {
	workers := map[*node]*worker{}
	f.start([]string{"plati", "plati", "plati", "plati", "cautare", "cautare"}, configuration(rule("r-pay", "unsafe", "/pay/", "plati", 0, "2000ms", "1500ms")), func(n *node) {
		workers[n] = startWorker(n, 36, func(*http.Request) time.Duration { return 250 * time.Millisecond })
	})
	leaving := f.nodes[1]
	var mu sync.Mutex
	var runs []lateRun
	workers[leaving].onRun = func(id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, lateRun{id, at})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := &sentRequests{at: make(map[string]sentRequest)}
	var clients sync.WaitGroup
	for _, n := range f.nodes {
		if n != leaving {
			clients.Go(func() { payAll(ctx, f, n, sent) })
		}
	}
	time.Sleep(4 * time.Second)
	coreCalm := time.Now()
	if trouble {
		f.record.note("the store is down (503)")
		f.store.setState(storeBusy)
	}
	time.Sleep(time.Second)
	acknowledged := workers[leaving].deregister()
	rolled := make(chan struct{})
	go func() {
		defer close(rolled)
		time.Sleep(500 * time.Millisecond)
		leaving.roll()
	}()
	time.Sleep(outage - time.Second)
	if trouble {
		f.store.setState(storeServes)
		coreCalm = time.Now()
		f.record.note("the store is back")
	}
	<-rolled
	time.Sleep(time.Until(acknowledged.Add(lastsAfterLeave)))
	cancel()
	clients.Wait()
	workers[leaving].close()
	mu.Lock()
	defer mu.Unlock()
	late, first, last := 0, time.Duration(0), time.Duration(0)
	for _, run := range runs {
		s, known := sent.get(run.id)
		inTouch := known && s.at.After(coreCalm.Add(stableBound)) && s.at.After(s.node.calmSince().Add(stableBound)) && s.at.After(leaving.calmSince().Add(stableBound))
		after := run.at.Sub(acknowledged)
		if !inTouch || after <= drainBound {
			continue
		}
		if late == 0 {
			first = after
		}
		last = after
		late++
		f.record.note("DRAIN: request %s reaches the leaving worker %.3f s after the acknowledgement", run.id, after.Seconds())
	}
	return late > 0, fmt.Sprintf("%d requests reached the leaving worker more than %s after the acknowledgement, sent by machines in touch (first after %.1f s, last after %.1f s); %d requests sent",
		late, drainBound, first.Seconds(), last.Seconds(), sent.count())
}

// lateRun is one run at the leaving worker.
type lateRun struct {
	id string
	at time.Time
}

// sentRequest is when and where a client sent a request.
type sentRequest struct {
	at   time.Time
	node *node
}

type sentRequests struct {
	mu sync.Mutex
	at map[string]sentRequest
}

func (s *sentRequests) add(id string, n *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id] = sentRequest{time.Now(), n}
}

func (s *sentRequests) get(id string) (sentRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.at[id]
	return r, ok
}

func (s *sentRequests) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.at)
}

var requestNumber atomic.Int64

// payAll sends unsafe requests to the outbound address of a machine, one after the other.
func payAll(ctx context.Context, f *fleet, n *node, sent *sentRequests) {
	client := &http.Client{Timeout: 5 * time.Second}
	for ctx.Err() == nil {
		id := fmt.Sprintf("%016x", requestNumber.Add(1))
		sent.add(id, n)
		pay(f, client, n, id)
		time.Sleep(100 * time.Millisecond)
	}
}

// pay sends one unsafe request and returns the status of its answer, zero if there is none.
func pay(f *fleet, client *http.Client, n *node, id string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.address(n.ports.outbound)+"/pay/"+id, io.LimitReader(zeros{}, 4000))
	if err != nil {
		panic(err)
	}
	r.ContentLength = 4000
	r.Host = host
	r.Header.Set("X-Mustardwing-Request-Id", id)
	r.Header.Set("X-Mustardwing-Deadline-Ms", "5000")
	f.record.note("client at %s sends %s", n.name, id)
	response, err := client.Do(r)
	if err != nil {
		f.record.note("client at %s: %s ends without an answer: %v", n.name, id, err)
		return 0
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	f.record.note("client at %s: %s is answered %d %q", n.name, id, response.StatusCode, body)
	return response.StatusCode
}

// zeros reads as zero bytes without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
