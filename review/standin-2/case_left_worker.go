package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// leftWorkerReturns: a worker deregisters and gets the acknowledgement while the store is down. All
// nodes are killed and start again. Then a heartbeat arrives that the worker had sent before it left.
func leftWorkerReturns(f *fleet, trouble bool) []string {
	f.start([]string{"cautare", "plati", "plati"}, rule{"promo-pay", "unsafe", "/promo/", "plati", "1500ms"})
	caller, leaver := f.nodes[0], f.nodes[1].worker
	time.Sleep(boundStable)

	late := leaver.heartbeat("ready")
	f.record.note("worker %s sends heartbeat %s, which will arrive late", leaver.id, late)
	lateSent := time.Now()
	if trouble {
		f.setStoreDown(true)
		time.Sleep(500 * time.Millisecond)
	}
	must(leaver.deregister())
	acked := time.Now()
	f.record.note("worker %s has deregistered; acknowledged", leaver.id)
	time.Sleep(300 * time.Millisecond)
	settled := acked
	if trouble {
		f.record.note("all nodes are killed")
		for _, n := range f.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range f.nodes {
			n.kill()
		}
		time.Sleep(300 * time.Millisecond)
		f.setStoreDown(false)
		time.Sleep(300 * time.Millisecond)
		for _, n := range f.nodes {
			n.restart()
		}
		settled = time.Now()
	}
	time.Sleep(time.Until(lateSent.Add(2500 * time.Millisecond)))
	err := leaver.deliver(late)
	f.record.note("the late heartbeat arrives %.1f s late: error %v", time.Since(lateSent).Seconds(), err)

	// All machines are in touch from here on.
	time.Sleep(time.Until(settled.Add(boundStable + 100*time.Millisecond)))
	counted := maxTime(time.Now(), acked.Add(boundDrain))
	time.Sleep(time.Until(counted))
	f.record.note("from here on every machine is in touch, and the drain bound of %s is over", boundDrain)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var lost int
	for range 60 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			out := caller.do(request{method: http.MethodPost, path: "/promo/1", body: []byte("promotion"), deadline: 5 * time.Second})
			if out.status != http.StatusOK {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	leaver.exit()
	f.record.note("worker %s ends, %.1f s after the acknowledgement", leaver.id, time.Since(acked).Seconds())
	clients.Wait()
	var broken []string
	for _, e := range f.runsSince(counted) {
		if e.instance == leaver.id {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reached worker %s %.3f s after the acknowledgement that it leaves", e.id, e.instance, e.at.Sub(acked).Seconds()))
		}
	}
	f.record.note("%d of 60 requests were not served", lost)
	return broken
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
