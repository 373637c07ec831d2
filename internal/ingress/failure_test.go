package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/responsecheck/responsechecktest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// assertCode reads a response and checks its result code and execution outcome.
func assertCode(t *testing.T, response *http.Response, code resultcode.Code, execution resultcode.Execution) {
	t.Helper()
	_, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(call.HeaderCode), strconv.Itoa(int(code)))
	assert.Equal(t, response.Header.Get(call.HeaderRun), execution.String())
}

// Guards against a truncated body that looks complete to the caller after it was
// relayed.
func TestTruncatedResponseIsAborted(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		f := newFleet(t, nil)
		f.add("search", startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
			if !chunked {
				w.Header().Set("Content-Length", "200000")
			}
			_, _ = w.Write(make([]byte, 100000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}), nil)
		response, err := newCaller(t).Do(newRequest(t, http.MethodGet, f.nodes[0].callerAddress, "search", ""))
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		assert.Assert(t, err != nil)
	}
}

// Guards against a response that is not valid and that reaches a caller, or causes a panic in a node.
func TestInvalidResponseReachesNoCaller(t *testing.T) {
	for _, r := range responsechecktest.Invalid() {
		f := newFleet(t, nil)
		n := f.add("search", responsechecktest.Serve(t, r.Bytes), nil)
		f.connect()
		response, err := newCaller(t).Do(newRequest(t, http.MethodPost, n.callerAddress, "search", "x"))
		assert.NilError(t, err, r.Name)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, r.Name)
		assertCode(t, response, resultcode.AnswerMismatch, resultcode.Unknown)
	}
}

// Guards against a response of the upstream that looks to the caller like the refusal of
// a call that was not run, because the upstream copied the result headers from the
// response to its nested call.
func TestDependencyResultHeadersAreIgnored(t *testing.T) {
	f := newFleet(t, nil)
	callerNode := f.add("", "", nil)
	var searchNode *node
	searchNode = f.add("search", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		nested := newRequest(t, http.MethodPost, searchNode.loopbackAddress, "ledger", "")
		nested.Header = r.Header.Clone()
		response, err := http.DefaultClient.Do(nested)
		assert.Check(t, err)
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}), nil)
	f.add("ledger", "127.0.0.1:1", nil)
	response, err := newCaller(t).Do(newRequest(t, http.MethodPost, callerNode.callerAddress, "search", "x"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assertCode(t, response, resultcode.OK, resultcode.Unknown)
}

// Guards against a 503 that the upstream did not declare as a rejection being taken as
// proof that a non-idempotent call was not run.
func TestUndeclared503IsNotRetried(t *testing.T) {
	for _, declared := range []bool{false, true} {
		var attempts atomic.Int32
		f := newFleet(t, nil)
		for range 3 {
			f.add("ledger", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				attempts.Add(1)
				if declared {
					w.Header().Set(call.HeaderRefusedAttempt, r.Header.Get(call.HeaderAttempt))
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}), func(a *upstream.Announcement) { a.RefusesBeforeWork = declared })
		}
		response, err := newCaller(t).Do(newRequest(t, http.MethodPost, f.nodes[0].callerAddress, "ledger", "x"))
		assert.NilError(t, err)
		if declared {
			assertCode(t, response, resultcode.UpstreamRefused, resultcode.NotRun)
			assert.Equal(t, attempts.Load(), int32(3))
			continue
		}
		assertCode(t, response, resultcode.OK, resultcode.Unknown)
		assert.Equal(t, attempts.Load(), int32(1))
	}
}

// delayedGuard learns the outcome of an attempt only after the next attempt has asked
// for permission. It does not grant that permission and returns KeyInProgress.
type delayedGuard struct {
	memoryGuard
	// pendingReport reports the outcome of the last attempt, nil when it is known.
	pendingReport func()
}

func (g *delayedGuard) Acquire(ctx context.Context, service string, key, attempt uuid.UUID) error {
	if report := g.pendingReport; report != nil {
		g.pendingReport = nil
		defer report()
		return resultcode.New(resultcode.KeyInProgress, "key %s", key)
	}
	return g.memoryGuard.Acquire(ctx, service, key, attempt)
}

func (g *delayedGuard) Complete(ctx context.Context, service string, key, attempt uuid.UUID, execution resultcode.Execution, status int) {
	g.pendingReport = func() { g.memoryGuard.Complete(ctx, service, key, attempt, execution, status) }
}

// Guards against a move that fails because the key's owner has not yet received
// the report that the rejected attempt was not run.
func TestMoveWaitsForKey(t *testing.T) {
	f := newFleet(t, func(f *fleet) {
		f.guard = &delayedGuard{memoryGuard: memoryGuard{keys: make(map[serviceKey]resultcode.Execution)}}
	})
	var attempts atomic.Int32
	for range 2 {
		f.add("ledger", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			if attempts.Add(1) == 1 {
				w.Header().Set(call.HeaderRefusedAttempt, r.Header.Get(call.HeaderAttempt))
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}), func(a *upstream.Announcement) { a.RefusesBeforeWork = true })
	}
	response, err := newCaller(t).Do(newRequest(t, http.MethodPost, f.nodes[0].callerAddress, "ledger", "x"))
	assert.NilError(t, err)
	assertCode(t, response, resultcode.OK, resultcode.Run)
	assert.Equal(t, attempts.Load(), int32(2))
}

// Guards against a call that is reported as not run because its last attempt was
// not run, although an earlier attempt may have run it.
func TestEarlierAttemptKeepsOutcomeUnknown(t *testing.T) {
	var n *node
	f := newFleet(t, nil)
	n = f.add("search", startUpstream(t, func(http.ResponseWriter, *http.Request) {
		a := n.upstream.State().Announcement
		a.Ready = false
		assert.Check(t, n.upstream.Announce(a))
		panic(http.ErrAbortHandler)
	}), nil)
	response, err := newCaller(t).Do(newRequest(t, http.MethodGet, n.callerAddress, "search", ""))
	assert.NilError(t, err)
	assertCode(t, response, resultcode.ConnectionLost, resultcode.Unknown)
}

// Guards against work that continues after its caller has disconnected, and against
// its late response being returned to a later call on the same connections.
func TestLateResponseIsDiscarded(t *testing.T) {
	started, stopped := make(chan struct{}), make(chan struct{})
	// The long timeout makes sure that only the cancellation can stop the call.
	f := newFleet(t, func(f *fleet) { f.values.Timeout = time.Hour })
	callerNode := f.add("", "", nil)
	f.add("search", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("slow") == "" {
			_, _ = io.WriteString(w, r.Header.Get("X-Call"))
			return
		}
		close(started)
		<-r.Context().Done()
		_, _ = io.WriteString(w, "late")
		close(stopped)
	}), func(a *upstream.Announcement) { a.Slots, a.MaxConnections = 1, 1 })
	caller := newCaller(t)
	get := func(ctx context.Context, query, id string) (string, error) {
		r := newRequest(t, http.MethodGet, callerNode.callerAddress, "search", "")
		r.URL.RawQuery = query
		r.Header.Set("X-Call", id)
		response, err := caller.Do(r.WithContext(ctx))
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	first, err := get(context.Background(), "", "first")
	assert.NilError(t, err)
	assert.Equal(t, first, "first")
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, err = get(ctx, "slow=1", "slow")
	assert.ErrorIs(t, err, context.Canceled)
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("the upstream still works for a caller that has disconnected")
	}
	for i := range 20 {
		id := strconv.Itoa(i)
		body, err := get(context.Background(), "", id)
		assert.NilError(t, err)
		if strings.HasPrefix(body, "{") {
			// The JSON body shows that a node refused the call: the slot of the
			// cancelled call may still be held.
			continue
		}
		assert.Equal(t, body, id)
	}
}

// Guards against refusals and responses that close the caller's connection although
// the short request body has arrived. Reconnecting would add load during overload.
func TestShortBodiesKeepConnection(t *testing.T) {
	f := newFleet(t, nil)
	n := f.add("search", startUpstream(t, func(http.ResponseWriter, *http.Request) {}), nil)
	f.services["empty"] = nil
	f.connect()
	caller := newCaller(t)
	connections := 0
	for range 5 {
		for _, service := range []string{"search", "empty", "unknown"} {
			trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
				if !info.Reused {
					connections++
				}
			}}
			r := newRequest(t, http.MethodPost, n.callerAddress, service, strings.Repeat("x", 2000))
			response, err := caller.Do(r.WithContext(httptrace.WithClientTrace(context.Background(), trace)))
			assert.NilError(t, err)
			_, err = io.ReadAll(response.Body)
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, connections, 1)
}

// Guards against accepting invalid requests: an HTTP version in which the caller
// cannot detect a truncated response, headers and bodies above their limits,
// malformed headers, an unknown service and a deadline that has passed.
func TestRefusedRequests(t *testing.T) {
	f := newFleet(t, func(f *fleet) { f.values.MaxBodyBytes = 1000 })
	var executions atomic.Int32
	n := f.add("search", startUpstream(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) }), nil)
	for _, c := range []struct {
		request string
		code    resultcode.Code
	}{
		{"GET / HTTP/1.0\r\nHost: search\r\n\r\n", resultcode.UnsupportedProtocol},
		{"GET / HTTP/1.1\r\nHost: search\r\nX-Big: " + strings.Repeat("x", 70000) + "\r\n\r\n", resultcode.HeadersTooLarge},
		{"POST / HTTP/1.1\r\nHost: search\r\nContent-Length: 1001\r\n\r\n", resultcode.BodyTooLarge},
		{"GET / HTTP/1.1\r\nHost: search\r\nMustardwing-Timeout-Ms: -5\r\n\r\n", resultcode.MalformedHeader},
		{"GET / HTTP/1.1\r\nHost: search\r\nMustardwing-Priority: urgent\r\n\r\n", resultcode.UnknownPriority},
		{"GET / HTTP/1.1\r\nHost: other\r\n\r\n", resultcode.UnknownService},
		{"GET / HTTP/1.1\r\nHost: search\r\nMustardwing-Timeout-Ms: 0\r\n\r\n", resultcode.DeadlineInsufficient},
	} {
		connection, err := net.Dial("tcp", n.callerAddress)
		assert.NilError(t, err)
		_, err = io.WriteString(connection, c.request)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err)
		assertCode(t, response, c.code, resultcode.NotRun)
		assert.NilError(t, connection.Close())
	}
	assert.Equal(t, executions.Load(), int32(0))
}
