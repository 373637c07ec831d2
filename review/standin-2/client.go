package main

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// request is what a client sends to the outbound address of a node, on a connection of its own.
type request struct {
	method, path string
	body         []byte
	deadline     time.Duration
}

// result is what a client has seen.
type result struct {
	id          string
	status      int
	stamp       string
	body        string
	err         error
	sent, ended time.Time
}

// do sends a request and waits for its response.
func (n *node) do(r request) result {
	out := result{id: n.fleet.newID(), sent: time.Now()}
	n.fleet.record.note("client sends %s %s %s (%d bytes) to %s", out.id, r.method, r.path, len(r.body), n.name)
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	h, err := http.NewRequest(r.method, "http://"+n.address(portOutbound)+r.path, body)
	must(err)
	h.Host = host
	h.Header.Set("X-Mustardwing-Request-Id", out.id)
	h.Header.Set("X-Mustardwing-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	client := http.Client{Timeout: r.deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(h)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		out.status, out.stamp, out.body = response.StatusCode, response.Header.Get("X-Mustardwing-Server-Stamp"), string(content)
	}
	out.err, out.ended = err, time.Now()
	n.fleet.record.note("client gets for %s: status %d, stamp %q, error %v, body %.90q", out.id, out.status, out.stamp, err, out.body)
	return out
}
