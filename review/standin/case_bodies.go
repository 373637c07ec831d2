//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// uploadBytes is the size of one upload. The operator's limit on a body is 64 MiB.
	uploadBytes = 24 << 20
	// bodiesDuration is how long the clients send requests.
	bodiesDuration = 20 * time.Second
	pipelineCount  = 6
)

// caseBodies checks LOST: clients that pipeline safe requests, and two clients that upload
// large bodies at the same machine, one after the other without the disruption and at the same
// time with it.
func caseBodies(f *fleet, trouble bool) (bool, string) {
	workers := map[*node]*worker{}
	f.start([]string{"plati", "cautare", "cautare", "galerie", "galerie"}, configuration(
		rule("r-list", "safe", "/list/", "cautare", 2, "1500ms", "1200ms"),
		rule("r-photo", "upload", "/photo/", "galerie", 1, "800ms", "3000ms"),
	), func(n *node) {
		workers[n] = startWorker(n, 36, func(r *http.Request) time.Duration {
			if r.Method == http.MethodPost {
				return 400 * time.Millisecond
			}
			return 190 * time.Millisecond
		})
	})
	time.Sleep(stableBound + time.Second)
	entry := f.nodes[0]
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), bodiesDuration)
	defer cancel()
	var lost, answered, uploads atomic.Int64
	var clients sync.WaitGroup
	for range pipelineCount {
		clients.Go(func() {
			for ctx.Err() == nil {
				p := &pipeline{fleet: f, node: entry, workers: workers}
				if p.run(ctx) {
					lost.Add(1)
				}
				answered.Add(int64(p.answered))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	var turn sync.Mutex
	for range 2 {
		clients.Go(func() {
			for round := 1; ctx.Err() == nil; round++ {
				// With the disruption both clients begin each round together.
				if !trouble {
					turn.Lock()
				}
				upload(f, entry, uploadBytes, false)
				uploads.Add(1)
				if !trouble {
					turn.Unlock()
				}
				time.Sleep(time.Until(started.Add(time.Duration(round) * 2 * time.Second)))
			}
		})
	}
	clients.Wait()
	return lost.Load() > 3, fmt.Sprintf("%d kept connections were closed without an answer to a request that a sound worker was running (allowed: 3); %d pipelined requests answered, %d uploads sent", lost.Load(), answered.Load(), uploads.Load())
}

// upload sends one large body on a new connection, with its length or in chunks.
func upload(f *fleet, n *node, size int64, chunked bool) {
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	r, err := http.NewRequest(http.MethodPost, "http://"+n.address(n.ports.outbound)+"/photo/"+id, io.LimitReader(zeros{}, size))
	if err != nil {
		panic(err)
	}
	r.ContentLength = size
	if chunked {
		r.ContentLength = -1
	}
	r.Host = host
	r.Header.Set("X-Mustardwing-Request-Id", id)
	r.Header.Set("X-Mustardwing-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	f.record.note("client at %s uploads %s, %d bytes", n.name, id, size)
	response, err := client.Do(r)
	if err != nil {
		f.record.note("client at %s: upload %s ends without an answer: %v", n.name, id, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	f.record.note("client at %s: upload %s is answered %d", n.name, id, response.StatusCode)
}

// pipeline is one kept connection of a client that sends safe requests behind each other.
type pipeline struct {
	fleet    *fleet
	node     *node
	workers  map[*node]*worker
	answered int
}

// run sends requests, the second before the answer to the first, until the node closes the
// connection. It reports whether a request that a worker was running got no answer.
func (p *pipeline) run(ctx context.Context) bool {
	conn, err := net.DialTimeout("tcp", p.node.address(p.node.ports.outbound), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var open []string
	for ctx.Err() == nil {
		for len(open) < 2 {
			id := fmt.Sprintf("%016x", requestNumber.Add(1))
			p.fleet.record.note("client at %s sends %s on %s", p.node.name, id, conn.LocalAddr())
			if _, err := fmt.Fprintf(conn, "GET /list/%s HTTP/1.1\r\nHost: %s\r\nX-Mustardwing-Request-Id: %s\r\nX-Mustardwing-Deadline-Ms: 5000\r\n\r\n", id, host, id); err != nil {
				break
			}
			open = append(open, id)
			time.Sleep(60 * time.Millisecond)
		}
		_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			p.fleet.record.note("client at %s: %s ends without an answer to %v: %v", p.node.name, conn.LocalAddr(), open, err)
			return p.ranAny(open)
		}
		p.fleet.record.note("client at %s: %s is answered %d", p.node.name, open[0], response.StatusCode)
		open = open[1:]
		p.answered++
		if response.Close {
			return false
		}
	}
	return false
}

// ranAny reports whether a worker ran any of the requests.
func (p *pipeline) ranAny(ids []string) bool {
	for _, id := range ids {
		for _, w := range p.workers {
			if w.ran(id) > 0 {
				p.fleet.record.note("LOST: request %s was passed on to worker %s and got no answer", id, w.id)
				return true
			}
		}
	}
	return false
}
