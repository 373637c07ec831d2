package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/responsecheck"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// errCloseDelimited reports a response that ends when its connection closes, so that a
// truncation cannot be detected.
var errCloseDelimited = errors.New("response body is delimited by connection close: want Content-Length or chunked encoding")

// Send sends one attempt and returns the response and the execution outcome, also with
// an error. The response has no reserved headers and its body must be closed. The error
// is a *resultcode.Error; if the outcome is NotRun, no byte was sent to the upstream or
// the upstream rejected the call.
func (u *Upstream) Send(ctx context.Context, m call.Metadata, in *http.Request) (*http.Response, resultcode.Execution, error) {
	pool, state := u.currentPool()
	if pool == nil {
		return nil, resultcode.NotRun, resultcode.New(resultcode.NoInstance, "no upstream is announced at this node")
	}
	a := &attempt{}
	body := &requestBody{ReadCloser: in.Body}
	out := u.newRequest(a.withTrace(ctx), m, in, body, state.Address)
	response, err := pool.transport.RoundTrip(out)
	if err != nil {
		failure := u.classify(ctx, a, body, err)
		u.unusable.Report(failure, m.RequestID.String(), state.Address)
		return nil, failure.Execution, failure
	}
	if failure := u.checkResponse(m, state, response); failure != nil {
		_ = response.Body.Close()
		u.unusable.Report(failure, m.RequestID.String(), state.Address)
		return nil, failure.Execution, failure
	}
	call.StripReserved(response.Header)
	return response, executionOf(response.StatusCode), nil
}

// withTrace makes the transport bind a to each connection that it chooses.
func (a *attempt) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				a.bind(c)
			}
		},
	})
}

// newRequest returns the request that is sent to the upstream: the caller's request with
// the metadata of the call and the trace context in its header.
func (u *Upstream) newRequest(ctx context.Context, m call.Metadata, in *http.Request, body *requestBody, address string) *http.Request {
	header := make(http.Header, len(in.Header)+8)
	relay.CopyHeader(header, in.Header)
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default User-Agent.
		header["User-Agent"] = []string{""}
	}
	m.WriteUpstream(header, u.config.Now())
	relay.Inject(ctx, header)
	out := &http.Request{
		Method: in.Method,
		URL: &url.URL{
			Scheme: "http", Host: address, Path: in.URL.Path, RawPath: in.URL.RawPath,
			RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery,
		},
		Host:          in.Host,
		Header:        header,
		ContentLength: in.ContentLength,
		Body:          http.NoBody,
	}
	if in.ContentLength != 0 {
		out.Body = body
	}
	return out.WithContext(ctx)
}

// classify returns the result of an attempt that got no response.
func (u *Upstream) classify(ctx context.Context, a *attempt, body *requestBody, err error) *resultcode.Error {
	written, replayBlocked, invalid := a.outcome()
	if replayBlocked {
		u.blockedReplays.Inc(1)
	}
	if invalid != nil {
		return resultcode.Wrap(invalid, resultcode.AnswerMismatch, "response of the upstream")
	}
	if written > 0 {
		return classifyWritten(ctx, body, err)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return resultcode.Wrap(err, resultcode.DeadlineInsufficient, "the deadline passed before a byte was sent")
	case ctx.Err() != nil:
		return resultcode.Wrap(err, resultcode.CallerGone, "the caller disconnected before a byte was sent")
	case body.failed.Load():
		return resultcode.Wrap(err, resultcode.CallerGone, "the request body ended early before a byte was sent")
	}
	return resultcode.Wrap(err, resultcode.UpstreamUnreachable, "upstream connection failed before a byte was sent")
}

// classifyWritten returns the result of an attempt that got no response after part of the
// request was written.
func classifyWritten(ctx context.Context, body *requestBody, err error) *resultcode.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return resultcode.Wrap(err, resultcode.DeadlineExceeded, "no response before the deadline")
	case body.failed.Load():
		return resultcode.Wrap(err, resultcode.RequestInterrupted, "the request body ended early")
	}
	return resultcode.Wrap(err, resultcode.ConnectionLost, "no response from the upstream")
}

// checkResponse returns an error for a response that belongs to another request or
// changes the protocol, for a declared rejection, and for a response whose truncation
// cannot be detected.
func (u *Upstream) checkResponse(m call.Metadata, state State, response *http.Response) *resultcode.Error {
	h := response.Header
	if err := responsecheck.Parsed(response); err != nil {
		return resultcode.Wrap(err, resultcode.AnswerMismatch, "response of the upstream")
	}
	if !echoes(h, call.HeaderRequestID, m.RequestID.String()) || !echoes(h, call.HeaderAttempt, m.Attempt.String()) {
		return resultcode.New(resultcode.AnswerMismatch, "response has request id %q and attempt %q: want %s and %s",
			h.Get(call.HeaderRequestID), h.Get(call.HeaderAttempt), m.RequestID, m.Attempt)
	}
	if state.RefusesBeforeWork && h.Get(call.HeaderRefusedAttempt) == m.Attempt.String() {
		return resultcode.New(resultcode.UpstreamRefused, "the upstream rejected the call with status %d before any work", response.StatusCode)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return resultcode.Wrap(errCloseDelimited, resultcode.ConnectionLost, "truncation of the upstream's response cannot be detected")
	}
	return nil
}

// echoes reports whether a header is absent or has only the wanted value.
func echoes(h http.Header, name, want string) bool {
	for _, value := range h[name] {
		if value != want {
			return false
		}
	}
	return true
}

// executionOf returns the execution outcome that the status of an upstream's own
// response implies: 502, 503 and 504 do not show whether the work was done.
func executionOf(status int) resultcode.Execution {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return resultcode.Unknown
	}
	return resultcode.Run
}

// requestBody records whether reading the request body failed, which distinguishes
// a failure of the caller from one of the upstream.
type requestBody struct {
	io.ReadCloser
	failed atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.failed.Store(true)
	}
	return n, err
}
