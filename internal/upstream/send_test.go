package upstream_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/delivery/deliverytest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// Guards against a lost connection being reported as not run although bytes were
// sent, or as a complete response although the body is truncated.
func TestConnectionLossAtEachStage(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
	stages := []struct {
		name   string
		script func(scriptedConn)
		code   resultcode.Code
	}{
		{"during request", func(e scriptedConn) { _, _ = e.reader.ReadByte() }, resultcode.ConnectionLost},
		{"after request", func(e scriptedConn) { _, _ = e.readRequest() }, resultcode.ConnectionLost},
		{"during header", func(e scriptedConn) { _, _ = e.readRequest(); e.write(head) }, resultcode.ConnectionLost},
		{"close-delimited body", func(e scriptedConn) { _, _ = e.readRequest(); e.write("HTTP/1.1 200 OK\r\n\r\n12345") }, resultcode.ConnectionLost},
		{"during body", func(e scriptedConn) { _, _ = e.readRequest(); e.write(head + "\r\n12345") }, resultcode.OK},
		{"during chunks", func(e scriptedConn) {
			_, _ = e.readRequest()
			e.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n")
		}, resultcode.OK},
	}
	for _, stage := range stages {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(stage.name+" "+method, func(t *testing.T) {
				u := announced(t, scriptedUpstream(t, stage.script), false)
				response, run, err := u.Send(context.Background(), metadata(false), request(t, method, "body"))
				if stage.code != resultcode.OK {
					assert.Equal(t, resultcode.From(err).Code, stage.code)
					assert.Equal(t, run, resultcode.Unknown)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, run, resultcode.Run)
				_, err = io.ReadAll(response.Body)
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			})
		}
	}
}

// Guards against the part of a response that came before a reset and that counts as whole, while the
// write of a long request body learns of the reset.
func TestResponseResetDuringUploadIsNotWhole(t *testing.T) {
	for _, head := range []string{"", "Connection: close\r\n", "Content-Length: 8\r\n", "Transfer-Encoding: chunked\r\n"} {
		for range 5 {
			u := announced(t, scriptedUpstream(t, func(e scriptedConn) {
				_, _ = http.ReadRequest(e.reader)
				time.Sleep(20 * time.Millisecond)
				e.write("HTTP/1.1 200 OK\r\n" + head + "\r\n4\r\npart")
				time.Sleep(20 * time.Millisecond)
				deliverytest.Reset(e.Conn)
			}), false)
			response, run, err := u.Send(context.Background(), metadata(false), request(t, http.MethodPost, strings.Repeat("x", 8<<20)))
			if err != nil {
				assert.Equal(t, resultcode.From(err).Code, resultcode.ConnectionLost)
				assert.Equal(t, run, resultcode.Unknown)
				continue
			}
			body, err := io.ReadAll(response.Body)
			assert.Assert(t, err != nil, "%q of %q", body, head)
		}
	}
}

// Guards against the beginning of an earlier response, broken off in a header, that turns the failure
// behind it into a success.
func TestBeginningOfAnEarlierResponseIsNotBelieved(t *testing.T) {
	u := announced(t, scriptedUpstream(t, func(e scriptedConn) {
		_, _ = e.readRequest()
		e.write("HTTP/1.1 200 OK\r\nContent-Type: text/plHTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nbody")
	}), false)
	_, run, err := u.Send(context.Background(), metadata(false), request(t, http.MethodPost, "body"))
	assert.Equal(t, resultcode.From(err).Code, resultcode.AnswerMismatch)
	assert.Equal(t, run, resultcode.Unknown)
}

// Guards against a response whose header breaks off, at any byte, and that counts as a success with
// an empty or a short body.
func TestBrokenOffHeaderIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 10\r\n\r\n"
	for end := range len(head) {
		u := announced(t, scriptedUpstream(t, func(e scriptedConn) { _, _ = e.readRequest(); e.write(head[:end]) }), false)
		_, run, err := u.Send(context.Background(), metadata(false), request(t, http.MethodPost, "body"))
		assert.Equal(t, resultcode.From(err).Code, resultcode.ConnectionLost, "broken off behind %q", head[:end])
		assert.Equal(t, run, resultcode.Unknown)
	}
}

// Guards against the outcome of an attempt on a refused connection being reported as
// unknown, which would prevent a move of a non-idempotent call.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	u := announced(t, bindPort(t).address, false)
	_, run, err := u.Send(context.Background(), metadata(false), request(t, http.MethodPost, "body"))
	assert.Equal(t, resultcode.From(err).Code, resultcode.UpstreamUnreachable)
	assert.Equal(t, run, resultcode.NotRun)
	assert.Assert(t, !u.State().Reachable)
}

// Guards against net/http's Transport replaying a request when a kept-alive
// connection breaks: it does so by itself for GET, and for any method with an
// Idempotency-Key header.
func TestTransportDoesNotReplayRequest(t *testing.T) {
	for _, header := range []string{"", "Idempotency-Key"} {
		var seen counter
		u := announced(t, scriptedUpstream(t, func(e scriptedConn) {
			_, _ = e.readRequest()
			e.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			if _, err := e.readRequest(); err == nil {
				seen.Add(1)
			}
		}), false)
		first, _, err := u.Send(context.Background(), metadata(false), request(t, http.MethodGet, ""))
		assert.NilError(t, err)
		_, _ = io.ReadAll(first.Body)
		r := request(t, http.MethodGet, "")
		if header != "" {
			r = request(t, http.MethodPost, "")
			r.Header.Set(header, "1")
		}
		_, run, err := u.Send(context.Background(), metadata(false), r)
		assert.Equal(t, resultcode.From(err).Code, resultcode.ConnectionLost)
		assert.Equal(t, run, resultcode.Unknown)
		assert.Equal(t, seen.Load(), int32(1))
	}
}

// Guards against trusting a rejection, and so running a call twice, although the
// upstream's announcement does not declare RefusesBeforeWork, or the rejection names
// another attempt, for instance one at a dependency whose response it passes on.
func TestRejectionCountsOnlyWhenDeclared(t *testing.T) {
	for _, c := range []struct {
		name string
		// sameAttempt is set when the rejection names the attempt that was sent.
		declared, sameAttempt bool
		wantCode, wantRun     string
	}{
		{"declared and echoed", true, true, "upstream_refused", "no"},
		{"not declared", false, true, "ok", "unknown"},
		{"another attempt", true, false, "ok", "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := announced(t, scriptedUpstream(t, func(e scriptedConn) {
				attempt, _ := e.readRequest()
				if !c.sameAttempt {
					attempt = "0b8d4f3e-5d0a-4c56-9a35-6f0a7f5ac001"
				}
				e.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" + call.HeaderRefusedAttempt + ": " + attempt + "\r\n\r\n")
			}), c.declared)
			response, run, err := u.Send(context.Background(), metadata(false), request(t, http.MethodPost, "body"))
			code := resultcode.OK
			if err != nil {
				code = resultcode.From(err).Code
			} else {
				assert.Equal(t, len(response.Header[call.HeaderRefusedAttempt]), 0)
			}
			assert.Equal(t, code.String(), c.wantCode)
			assert.Equal(t, run.String(), c.wantRun)
		})
	}
}

// Guards against an endless response header that fills the memory.
func TestEndlessResponseHeaderIsGivenUp(t *testing.T) {
	u := announced(t, scriptedUpstream(t, func(e scriptedConn) {
		_, _ = e.readRequest()
		e.write("HTTP/1.1 200 OK\r\n")
		lines := strings.Repeat("X-A: a\r\n", 1<<10)
		for {
			if _, err := e.Write([]byte(lines)); err != nil {
				return
			}
		}
	}), false)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, run, err := u.Send(ctx, metadata(true), request(t, http.MethodGet, ""))
	assert.Equal(t, resultcode.From(err).Code, resultcode.ConnectionLost, "%v", err)
	assert.Equal(t, run, resultcode.Unknown)
}

// Guards against returning a response that belongs to another request.
func TestResponseOfAnotherRequestIsDropped(t *testing.T) {
	u := announced(t, scriptedUpstream(t, func(e scriptedConn) {
		_, _ = e.readRequest()
		e.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + call.HeaderRequestID + ": 0197a1b2-0000-7000-8000-000000000001\r\n\r\n")
	}), false)
	_, run, err := u.Send(context.Background(), metadata(true), request(t, http.MethodGet, ""))
	assert.Equal(t, resultcode.From(err).Code, resultcode.AnswerMismatch)
	assert.Equal(t, run, resultcode.Unknown)
}

// Guards against opening more connections than the upstream announced, when spare
// connections, idle ones and those in use are counted together.
func TestConnectionLimit(t *testing.T) {
	var open, peak counter
	release := make(chan struct{})
	address := scriptedUpstream(t, func(e scriptedConn) {
		peak.Store(max(peak.Load(), open.Add(1)))
		defer open.Add(-1)
		for {
			if _, err := e.readRequest(); err != nil {
				return
			}
			<-release
			e.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	u := announced(t, address, false)
	assert.NilError(t, u.Announce(upstream.Announcement{
		Service: "search", Address: address, Slots: 2, MaxConnections: 3, Ready: true,
	}))
	const calls = 12
	done := make(chan error, calls)
	for range calls {
		go func() {
			response, _, err := u.Send(context.Background(), metadata(true), request(t, http.MethodGet, ""))
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			done <- err
		}()
	}
	for open.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for range calls {
		assert.NilError(t, <-done)
	}
	assert.Equal(t, peak.Load(), int32(3))
}

// Guards against a first burst of calls that waits for new connections because none were
// opened in advance, and against an upstream that stays unreachable although its port
// accepts connections again.
func TestWarmConnectionsAndProbe(t *testing.T) {
	port := bindPort(t)
	u := announced(t, port.address, false)
	assert.NilError(t, u.Announce(upstream.Announcement{Service: "search", Address: port.address, Slots: 2, MaxConnections: 3, Ready: true}))
	changes := make(chan bool, 10)
	u.OnChange(func(s upstream.State) { changes <- s.Available() })
	for available := range changes {
		if !available {
			break
		}
	}
	l := port.listen()
	for available := range changes {
		if available {
			break
		}
	}
	// The probe's own connection, then one for each slot.
	for range 3 {
		c, err := l.Accept()
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
}
