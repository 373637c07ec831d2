package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// slowReaderWhileStopping: a worker reads the body of an upload slowly while the client's node is
// stopped as planned.
func slowReaderWhileStopping(f *fleet, trouble bool) []string {
	const (
		timeout  = 2500 * time.Millisecond
		deadline = 3000 * time.Millisecond
		uploads  = 8
	)
	f.start([]string{"cautare", "galerie"}, rule{"photo-upload", "upload", "/photo/", "galerie", "2500ms"})
	caller, reader := f.nodes[0], f.nodes[1].worker
	time.Sleep(boundStable)
	if trouble {
		reader.readPause.Store(int64(1500 * time.Millisecond))
	}
	results := make(chan result, uploads)
	for range uploads {
		go func() {
			results <- caller.do(request{method: http.MethodPost, path: "/photo/1", body: bytes.Repeat([]byte("photo"), 72000), deadline: deadline})
		}()
	}
	time.Sleep(300 * time.Millisecond)
	f.record.note("SIGTERM to %s", caller.name)
	ended := caller.signal(syscall.SIGTERM)
	var broken []string
	for range uploads {
		out := <-results
		took := out.ended.Sub(out.sent)
		if len(f.runsOf(out.id)) == 1 && out.status != http.StatusOK && took < timeout {
			broken = append(broken, fmt.Sprintf("LOST: upload %s was at its worker, which read it, and got status %d (%v) after %.3f s, before its timeout of %s", out.id, out.status, out.err, took.Seconds(), timeout))
		}
	}
	<-ended
	f.record.note("%s has ended", caller.name)
	return broken
}
