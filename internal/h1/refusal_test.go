package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refuse writes a response that states that the request with an id was not run.
func refuse(c net.Conn, id string) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: "+id+"\r\nContent-Length: 7\r\n\r\nrefused")
}

func requestOfCall(id string, nonIdempotent bool) *Request {
	r := request(id)
	r.ID, r.NonIdempotent = id, nonIdempotent
	return r
}

// Guards against a refusal that an upstream writes once more being taken for the response to
// the next attempt at the same call, which the upstream runs.
func TestRepeatedRefusalIsNotTheResponseToTheNextAttempt(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		t.Run(fmt.Sprint("non-idempotent=", nonIdempotent), func(t *testing.T) {
			address := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				refuse(c, "1")
				if readRequest(r) == nil {
					return
				}
				refuse(c, "1")
				time.Sleep(20 * time.Millisecond)
				respond(c, "1", "one")
				readRequest(r)
			}, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				respond(c, "1", "one")
				readRequest(r)
			})
			p := testPool(t, address)
			response, err := do(p, requestOfCall("1", nonIdempotent))
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusServiceUnavailable)
			response, err = do(p, requestOfCall("1", nonIdempotent))
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusOK)
			assert.Equal(t, p.Opened(), int64(2))
		})
	}
}

// Guards against a copy of an earlier refusal that turns the response to another call into
// "not run", whenever it arrives: before the request is written, before the response, and
// between its header and its body.
func TestRepeatedRefusalOfAnotherCall(t *testing.T) {
	for name, second := range map[string]func(c net.Conn){
		"before the response": func(c net.Conn) {
			refuse(c, "1")
			time.Sleep(20 * time.Millisecond)
			respond(c, "2", "two")
		},
		"together with the response": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Length: 7\r\n\r\nrefused"+
				"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\ntwo")
		},
		"behind the response": func(c net.Conn) {
			respond(c, "2", "two")
			refuse(c, "1")
		},
		"twice": func(c net.Conn) {
			refuse(c, "1")
			refuse(c, "1")
			respond(c, "2", "two")
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				refuse(c, "1")
				readRequest(r)
				second(c)
				readRequest(r)
			}, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				respond(c, "3", "three")
				readRequest(r)
			})
			p := testPool(t, address)
			_, err := do(p, requestOfCall("1", true))
			assert.NilError(t, err)
			response, err := do(p, requestOfCall("2", true))
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "two")
			time.Sleep(20 * time.Millisecond)
			response, err = do(p, requestOfCall("3", true))
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "three")
			assert.Equal(t, p.Opened(), int64(2))
		})
	}
}

// Guards against a copy of a refusal, of which the rest is missing, being taken for the end of
// another call: the outcome of that call is unknown.
func TestPartOfRepeatedRefusalLeavesTheOutcomeUnknown(t *testing.T) {
	address := scriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		refuse(c, "1")
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Length: 70\r\n\r\n")
		respond(c, "2", "two")
	})
	p := testPool(t, address)
	_, err := do(p, requestOfCall("1", true))
	assert.NilError(t, err)
	_, err = do(p, requestOfCall("2", true))
	var failure *SendError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent)
}

// Guards against a list of failed calls that grows for as long as its connection lives.
func TestConnectionIsClosedAfterManyFailedCalls(t *testing.T) {
	serve := func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			refuse(c, "")
		}
	}
	address := scriptedServer(t, serve, serve)
	p := NewPool(PoolConfig{Address: address, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, MaxResponseBytes: 1 << 20})
	t.Cleanup(p.Close)
	for i := range maxFailedCalls + 1 {
		_, err := do(p, requestOfCall(fmt.Sprint(i), true))
		assert.NilError(t, err)
	}
	assert.Equal(t, p.Opened(), int64(2))
}
