package main

import (
	"fmt"
	"net/http"
	"time"
)

// prefixWithoutSlash: the path /balance does not begin with the prefix /balance/ of a safe route, so its
// requests belong to the unsafe route with the prefix /. Some answers of two of its four workers are lost.
func prefixWithoutSlash(f *fleet, trouble bool) []string {
	f.start([]string{"istoric", "plati", "plati", "plati", "plati"},
		rule{"promo-pay", "unsafe", "/", "plati", "1500ms"},
		rule{"seller-balance", "safe", "/balance/", "plati", "1500ms"})
	caller := f.nodes[0]
	time.Sleep(boundStable)
	if trouble {
		for _, n := range f.nodes[1:3] {
			n.worker.loseAnswers.Store(answersLostPercent)
			f.record.note("worker %s loses %d in 100 of its answers from here on", n.worker.id, answersLostPercent)
		}
	}
	var broken []string
	for range 40 {
		out := caller.do(request{method: http.MethodPost, path: "/balance", body: []byte("promotion"), deadline: 5 * time.Second})
		if runs := f.runsOf(out.id); len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s with path %s, which only the prefix of the unsafe route begins, ran %d times, at %s and %s",
				out.id, runs[0].path, len(runs), runs[0].instance, runs[1].instance))
		}
	}
	return broken
}
