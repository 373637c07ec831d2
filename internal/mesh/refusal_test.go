package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// repeatingUpstream is an upstream that rejects the first attempt at each call, runs the
// others, and on a connection with an earlier rejection writes that once more before the
// response.
type repeatingUpstream struct {
	runs atomic.Int64
	// rejectedOnce holds the ids of the calls that were rejected. Only one call is made at a
	// time.
	rejectedOnce map[string]bool
}

func (u *repeatingUpstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	rejection := ""
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Test-Id")
		if !u.rejectedOnce[id] {
			u.rejectedOnce[id] = true
			rejection = "HTTP/1.1 503 Service Unavailable\r\nTest-Id: " + id + "\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, rejection)
			continue
		}
		u.runs.Add(1)
		_, _ = io.WriteString(c, rejection)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+id+"\r\nTest-Mark: m\r\nContent-Length: 4\r\n\r\ngood")
	}
}

// Guards against a caller being told that a call was not run while the upstream runs it, and
// against a second run, because the upstream repeats its rejection of an earlier attempt at
// the call on a kept connection.
func TestRepeatedRejectionDoesNotHideARun(t *testing.T) {
	up := &repeatingUpstream{rejectedOnce: map[string]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go up.serve(c)
		}
	}()
	c := newCluster(t, nonIdempotent(), &testUpstream{handler: good})
	a, _ := c.upstreams["i-0"].Current()
	a.Address = l.Addr().String()
	c.upstreams["i-0"].Announce(time.Now(), a)
	for i := range 5 {
		response := c.call(t.Context(), fmt.Sprint("call-", i))
		assert.Equal(t, response.Status, http.StatusOK)
		assert.Equal(t, up.runs.Load(), int64(i+1))
	}
}
