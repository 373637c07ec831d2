package h1

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/delivery/deliverytest"
)

// slowResponseBytes exceeds what a slow caller's kernel takes before the caller reads.
const slowResponseBytes = 30_000

func serveLargeResponse(t *testing.T, limits Limits, expires time.Duration) (*Server, string) {
	return startServer(t, func(_ context.Context, r *Request) *Response {
		response := textResponse(http.StatusOK, strings.Repeat("x", slowResponseBytes))
		if expires > 0 {
			response.Expires = r.Arrived.Add(expires)
		}
		return response
	}, limits)
}

// Guards against a response that is cut off because its caller reads it slowly and sends more on a
// connection that the server is closing.
func TestSlowCallerGetsTheWholeLastResponse(t *testing.T) {
	idle := testLimits()
	idle.IdleTimeout = 200 * time.Millisecond
	get := func(t *testing.T, c *deliverytest.SlowCaller) { c.Send(t, http.MethodGet, "/2", "") }
	cases := map[string]struct {
		limits  Limits
		stop    bool
		header  string
		further func(t *testing.T, c *deliverytest.SlowCaller)
	}{
		"stopped server":           {testLimits(), true, "", get},
		"caller closes":            {testLimits(), false, "Connection: close\r\n", get},
		"idle":                     {idle, false, "", get},
		"malformed next request":   {testLimits(), false, "", func(t *testing.T, c *deliverytest.SlowCaller) { c.Send(t, "GET", "", "") }},
		"next request too large":   {testLimits(), false, "", func(t *testing.T, c *deliverytest.SlowCaller) { c.Send(t, "POST", "/2", "Content-Length: 2000000\r\n") }},
		"next header comes slowly": {testLimits(), false, "", func(t *testing.T, c *deliverytest.SlowCaller) { _, _ = io.WriteString(c.Conn, "GET /2 HT") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, address := serveLargeResponse(t, c.limits, 0)
			if c.stop {
				server.DisableKeepAlives()
			}
			caller := deliverytest.Dial(t, address)
			caller.Send(t, http.MethodGet, "/1", c.header)
			time.Sleep(400 * time.Millisecond)
			c.further(t, caller)
			time.Sleep(600 * time.Millisecond)
			_, _ = io.WriteString(caller.Conn, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
			response, err := caller.Response()
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), slowResponseBytes)
		})
	}
}

// Guards against a stop that cuts off a response which its caller is still taking, and against one
// that waits for a caller which has the response or no longer waits for it.
func TestDeliveringLastsUntilTheCallerHasTheResponse(t *testing.T) {
	for name, c := range map[string]struct {
		expires time.Duration
		reads   bool
		atLeast time.Duration
	}{
		"slow caller":                 {0, true, 700 * time.Millisecond},
		"slow caller with a deadline": {5 * time.Second, true, 700 * time.Millisecond},
		"caller that reads nothing":   {800 * time.Millisecond, false, 700 * time.Millisecond},
		"caller that closes unread":   {0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, address := serveLargeResponse(t, testLimits(), c.expires)
			server.DisableKeepAlives()
			caller := deliverytest.Dial(t, address)
			sent := time.Now()
			caller.Send(t, http.MethodGet, "/", "")
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, server.Delivering())
			ended := make(chan time.Duration, 1)
			go func() {
				for server.Delivering() && time.Since(sent) < testTimeout {
					time.Sleep(10 * time.Millisecond)
				}
				ended <- time.Since(sent)
			}()
			switch {
			case c.reads:
				response, err := caller.Response()
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, len(body), slowResponseBytes)
				assert.NilError(t, caller.Close())
			case c.expires == 0:
				assert.NilError(t, caller.Close())
			}
			took := <-ended
			assert.Assert(t, took >= c.atLeast && took < testTimeout, "%s", took)
		})
	}
}

// Guards against a response larger than all buffers that is cut off because its caller, which is alive,
// reads nothing for a while.
func TestCallerThatPausesGetsTheResponse(t *testing.T) {
	const bytes = 16 << 20
	_, address := startServer(t, func(context.Context, *Request) *Response {
		return textResponse(http.StatusOK, strings.Repeat("x", bytes))
	}, testLimits())
	c, reader := dial(t, address)
	write(t, c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	time.Sleep(3 * time.Second)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	read, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, read, int64(bytes))
}

// Guards against a response that is cut off after a fixed time, although its caller takes it all the
// while.
func TestResponseTakenSlowlyIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(HandlerFunc(func(context.Context, *Request) *Response {
			return textResponse(http.StatusOK, strings.Repeat("x", slowResponseBytes))
		}), testLimits, zerolog.Nop())
		defer server.Close()
		caller, accepted := net.Pipe()
		go server.add(accepted).run()
		write(t, caller, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		total, buffer := 0, make([]byte, 512)
		for {
			n, err := caller.Read(buffer)
			total += n
			if err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		assert.Assert(t, total > slowResponseBytes, "%d bytes", total)
	})
}

// Guards against a lingering connection that waits for the lock of a response that is being written, so
// that it neither discards input nor detects a disconnect meanwhile.
func TestLingerDoesNotWaitForTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, accepted := net.Pipe()
		conn := deliverytest.NewWriteBeforeLingerConn(accepted)
		server := NewServer(HandlerFunc(func(context.Context, *Request) *Response {
			return textResponse(http.StatusOK, "x")
		}), testLimits, zerolog.Nop())
		defer server.Close()
		go server.add(conn).run()
		write(t, caller, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		time.Sleep(time.Second)
		_, err := io.WriteString(caller, "input")
		assert.NilError(t, err)
		_, err = io.ReadAll(caller)
		assert.NilError(t, err)
	})
}
