package peer

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/responsecheck"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxFailureBytes is the largest number of bytes that are parsed of the body of a
// response with a failure, and again the largest number that are read after it.
const maxFailureBytes = 4 << 10

// Response is the response of a node to one attempt.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header includes the Mustardwing headers; relay.CopyHeader omits them.
	Header http.Header
	// ContentLength is negative when unknown.
	ContentLength int64
	// Execution is what the node reported about the execution of the call.
	Execution resultcode.Execution
	// Load is nil when the node reported none.
	Load *admission.Load
	// NestedCallShed is set when the upstream failed the call because a nested call
	// was refused for lack of capacity or time.
	NestedCallShed bool
	// Failure is set when the node responded with a result code other than OK or without
	// one; the body is closed then. It is nil when the node relays a response of the
	// upstream.
	Failure *resultcode.Error

	body   io.ReadCloser
	raw    *http.Response
	cancel func()
}

// newResponse returns the response of an attempt. cancel ends the attempt and is called
// by Close. newResponse fails with AnswerMismatch when the response is not valid or belongs to
// another attempt.
func newResponse(m call.Metadata, raw *http.Response, cancel func()) (*Response, *resultcode.Error) {
	r := &Response{
		Status:        raw.StatusCode,
		Header:        raw.Header,
		ContentLength: raw.ContentLength,
		Execution:     resultcode.ParseExecution(raw.Header.Get(call.HeaderRun)),
		body:          raw.Body,
		raw:           raw,
		cancel:        cancel,
	}
	if err := responsecheck.FinalStatus(raw.StatusCode); err != nil {
		r.Close()
		return nil, resultcode.Wrap(err, resultcode.AnswerMismatch, "response of the node")
	}
	if raw.Header.Get(call.HeaderRequestID) != m.RequestID.String() || raw.Header.Get(call.HeaderAttempt) != m.Attempt.String() {
		r.Close()
		return nil, resultcode.New(resultcode.AnswerMismatch, "response has request id %q and attempt %q: want %s and %s",
			raw.Header.Get(call.HeaderRequestID), raw.Header.Get(call.HeaderAttempt), m.RequestID, m.Attempt)
	}
	if load, err := admission.ParseLoad(raw.Header.Get(call.HeaderLoad)); err == nil {
		r.Load = &load
	}
	r.NestedCallShed = raw.Header.Get(call.HeaderShed) == call.ShedBelow
	r.readFailure()
	return r, nil
}

// readFailure sets Failure, and closes the response, when the response carries a result
// code other than OK or none at all.
func (r *Response) readFailure() {
	text := r.Header.Get(call.HeaderCode)
	number, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		r.Failure = resultcode.New(resultcode.Internal, "response has code %q: want a number", text)
		r.Close()
		return
	}
	if number == 0 {
		return
	}
	var body relay.Failure
	// The detail is for operators only, so a response without a valid body is
	// accepted.
	_ = json.NewDecoder(io.LimitReader(r.body, maxFailureBytes)).Decode(&body)
	r.Failure = &resultcode.Error{Code: resultcode.Code(number), Execution: r.Execution, Detail: body.Detail}
	if status, err := strconv.Atoi(r.Header.Get(call.HeaderOriginalStatus)); err == nil {
		r.Failure.Cause = originalStatus(status)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.body, maxFailureBytes))
	r.Close()
}

// Read implements io.Reader for the body.
func (r *Response) Read(p []byte) (int, error) {
	return r.body.Read(p)
}

// Close ends the attempt. It cancels the request when the body has not been read to its
// end.
func (r *Response) Close() {
	_ = r.body.Close()
	r.cancel()
}

// Trailer returns the trailers, which are complete once the body has been read to
// its end.
func (r *Response) Trailer() http.Header {
	return r.raw.Trailer
}

// Spent returns the allowance that the nested calls of this attempt spent, and
// false when the node did not report it. It is known once the body has been read
// to its end.
func (r *Response) Spent() (call.Allowance, bool) {
	if text := r.raw.Trailer.Get(call.HeaderSpent); text != "" {
		return call.ParseAllowance(text)
	}
	return call.ParseAllowance(r.Header.Get(call.HeaderSpent))
}

// originalStatus is the HTTP status of an execution that completed earlier. It is
// the cause of a KeyCompleted failure.
type originalStatus int

// Error implements error.
func (s originalStatus) Error() string {
	return "earlier execution completed with status " + strconv.Itoa(int(s))
}

// OriginalStatus implements relay.OriginalStatus.
func (s originalStatus) OriginalStatus() int {
	return int(s)
}
