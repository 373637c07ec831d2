package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// answer is what a client saw of one attempt.
type answer struct {
	id     string
	sent   time.Time
	status int
	stamp  string
	body   int
	err    error
}

// client sends requests over kept connections.
type client struct {
	http   *http.Client
	record *record
}

func newClient(c *record) *client {
	return &client{record: c, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// get sends one request to the outbound address of a node.
func (l *client) get(ctx context.Context, n *node, path string, deadline time.Duration) answer {
	return l.send(ctx, n, path, newID(), deadline, nil)
}

// send is get with an id and more headers.
func (l *client) send(ctx context.Context, n *node, path, id string, deadline time.Duration, header http.Header) answer {
	a := answer{id: id, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(portOutbound)+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Host = host
	r.Header.Set("X-Mustardwing-Request-Id", a.id)
	r.Header.Set("X-Mustardwing-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	l.record.add("client sends %s GET %s to node %d", a.id, path, n.index)
	response, err := l.http.Do(r)
	if err == nil {
		defer response.Body.Close()
		var length int64
		length, err = io.Copy(io.Discard, response.Body)
		a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("X-Mustardwing-Server-Stamp"), int(length)
	}
	a.err = err
	l.record.add("client gets for %s: status %d, stamp %q, %d bytes, error %v", a.id, a.status, a.stamp, a.body, err)
	return a
}

// load sends requests at a rate until ctx ends, each without waiting for the others, and returns the
// answers.
func (l *client) load(ctx context.Context, n *node, path string, every, deadline time.Duration) []answer {
	var mu sync.Mutex
	var answers []answer
	var open sync.WaitGroup
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			open.Wait()
			return answers
		case <-ticker.C:
		}
		open.Add(1)
		go func() {
			defer open.Done()
			a := l.get(context.Background(), n, path, deadline)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}()
	}
}

// readSlowly reads a response at a rate in bytes a second, 0 for at once, and returns the length of the
// body that was read.
func readSlowly(conn net.Conn, perSecond int) (status, length int, whole bool, err error) {
	reader := bufio.NewReaderSize(conn, 4<<10)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, 0, false, err
	}
	started := time.Now()
	buffer := make([]byte, 16<<10)
	for {
		n, err := response.Body.Read(buffer)
		length += n
		if err == io.EOF {
			return response.StatusCode, length, int64(length) == response.ContentLength, nil
		}
		if err != nil {
			return response.StatusCode, length, false, err
		}
		if perSecond > 0 {
			time.Sleep(time.Until(started.Add(time.Duration(float64(length) / float64(perSecond) * float64(time.Second)))))
		}
	}
}
