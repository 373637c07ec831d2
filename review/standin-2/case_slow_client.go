package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// historyBytes is the size of an answer, the largest of history-view in the site file.
	historyBytes = 30_000
	// clientBufferBytes is the receive buffer of a client that reads slowly; it reads clientReadBytes
	// each clientReadPause.
	clientBufferBytes = 4 << 10
	clientReadBytes   = 2 << 10
	clientReadPause   = 100 * time.Millisecond
	// furtherAfter is when the client sends its next request on the connection, before it has read
	// anything of the answer to the first; readAfter is when it begins to read.
	furtherAfter = 800 * time.Millisecond
	readAfter    = 900 * time.Millisecond
)

// slowClientWhileStopping: clients that read slowly send a further request before they have the first
// answer, while their node is stopped as planned.
func slowClientWhileStopping(f *fleet, trouble bool) []string {
	const clients = 8
	f.start([]string{"cautare", "istoric"}, rule{"history-view", "safe", "/history/", "istoric", "5000ms"})
	caller := f.nodes[0]
	f.nodes[1].worker.answerBytes.Store(historyBytes)
	time.Sleep(boundStable)
	if trouble {
		f.record.note("SIGTERM to %s", caller.name)
		caller.signal(syscall.SIGTERM)
	}
	broken := make(chan string, clients)
	for range clients {
		go func() { broken <- caller.readSlowly() }()
	}
	var all []string
	for range clients {
		if b := <-broken; b != "" {
			all = append(all, b)
		}
	}
	return all
}

// readSlowly sends a request, a further one before it has read anything of the answer, and then reads
// the answer slowly. It returns what breaks the rule, empty if nothing does.
func (n *node) readSlowly() string {
	f := n.fleet
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBufferBytes)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", n.address(portOutbound))
	must(err)
	defer conn.Close()
	send := func() string {
		id := f.newID()
		_, err := fmt.Fprintf(conn, "GET /history/1 HTTP/1.1\r\nHost: %s\r\nX-Mustardwing-Request-Id: %s\r\nX-Mustardwing-Deadline-Ms: 10000\r\n\r\n", host, id)
		f.record.note("client sends %s GET /history/1 to %s: error %v", id, n.name, err)
		return id
	}
	sent := time.Now()
	first := send()
	time.Sleep(furtherAfter)
	send()
	time.Sleep(time.Until(sent.Add(readAfter)))
	response, err := http.ReadResponse(bufio.NewReaderSize(slowReader{conn}, clientReadBytes), nil)
	if err != nil {
		f.record.note("client gets no answer to %s: %v", first, err)
		return fmt.Sprintf("LOST: request %s got no answer: %v", first, err)
	}
	body, err := io.ReadAll(response.Body)
	took := time.Since(sent).Seconds()
	f.record.note("client gets for %s after %.3f s: status %d, Connection: close %v, %d of %d bytes, error %v", first, took, response.StatusCode, response.Close, len(body), response.ContentLength, err)
	if err == nil {
		return ""
	}
	return fmt.Sprintf("LOST: request %s ran %d times; its answer with status %d ended after %d of %d bytes (%v), %.3f s after it was sent", first, len(f.runsOf(first)), response.StatusCode, len(body), response.ContentLength, err, took)
}

// slowReader reads a little at a time, with a pause before each read.
type slowReader struct {
	conn net.Conn
}

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(clientReadPause)
	return r.conn.Read(p[:min(len(p), clientReadBytes)])
}
