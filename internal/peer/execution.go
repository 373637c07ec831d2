package peer

import (
	"context"
	"net/http"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/responsecheck"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// execution is one admitted attempt at the upstream of this node.
type execution struct {
	handler  *Handler
	metadata call.Metadata
	slot     *admission.Slot
	// permitted is set while the key's owner, the node that grants the permission to run a
	// call with an idempotency key, may have granted it and has not received the outcome.
	permitted bool
	// opened is set once the attempt is one of the running attempts and has an account
	// in the ledger, closed once it was removed from both.
	opened bool
	// parent is the attempt as the parent of its nested calls.
	parent *upstream.ParentCall
	closed bool
	// abandon cancels the nested calls. It is called when the caller disconnects.
	abandon context.CancelFunc
	// stopWatchingCaller keeps a later end of the caller's context from calling abandon.
	stopWatchingCaller func() bool
	// outcome is reported to admission and to the key's owner.
	outcome resultcode.Execution
	// status is the HTTP status of the upstream's response, zero without a response. It
	// is reported to the key's owner.
	status int
}

// acquirePermission asks the key's owner for the permission to run a
// non-idempotent call. An idempotent call needs none.
func (e *execution) acquirePermission(ctx context.Context) error {
	e.outcome = resultcode.NotRun
	if e.metadata.Idempotent {
		return nil
	}
	guard := e.handler.config.Guard
	if guard == nil {
		return resultcode.New(resultcode.OwnerUnavailable, "this node does not track idempotency keys")
	}
	m := e.metadata
	err := guard.Acquire(ctx, m.Service, m.Key, m.Attempt)
	// When ctx has ended, the owner may have granted the permission although this
	// node did not wait for its response.
	e.permitted = err == nil || ctx.Err() != nil
	return err
}

// open adds the attempt to the running attempts and opens its account in the ledger.
// caller is the context of the caller's request. open fails with KeyInProgress when the
// attempt is already running; the outcome is then not reported to the key's owner.
func (e *execution) open(caller context.Context) error {
	abandoned, abandon := context.WithCancel(context.WithoutCancel(caller))
	parent, added := e.handler.config.RunningAttempts.Add(abandoned, e.metadata, e.slot.NestedCallShed)
	if !added {
		abandon()
		e.permitted = false
		return resultcode.New(resultcode.KeyInProgress, "attempt %s is already running", e.metadata.Attempt)
	}
	e.opened = true
	e.parent = parent
	e.abandon = abandon
	e.stopWatchingCaller = context.AfterFunc(caller, abandon)
	e.handler.config.Ledger.Open(e.metadata.Attempt, e.metadata.Allowance)
	return nil
}

// run sends the call to the upstream and relays the response. When it returns an
// error, no part of a response has been written. It panics with http.ErrAbortHandler
// when the response ends early after a part was written.
func (e *execution) run(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	response, outcome, err := e.handler.config.Upstream.Send(ctx, e.metadata, r)
	e.outcome = outcome
	if err != nil {
		e.writeSpentHeader(w)
		return err
	}
	defer func() { _ = response.Body.Close() }()
	e.status = response.StatusCode
	if e.outcome == resultcode.Unknown && e.parent.NestedCallWasShed() {
		w.Header()[call.HeaderShed] = []string{call.ShedBelow}
	}
	e.complete(ctx)
	if relay.FitsBuffer(r.Method, response) {
		return e.relayBuffered(w, response)
	}
	e.handler.codeCounters.Count(resultcode.OK)
	e.handler.config.Counts.count(e.metadata.Priority, resultcode.OK)
	e.handler.writeHeader(w, response, e.outcome)
	e.relayBody(w, response)
	return nil
}

// relayBuffered reads a short body in full before it sends the header. This saves
// the trailer frame, and a body that ends early can still be reported with a result
// code.
func (e *execution) relayBuffered(w http.ResponseWriter, response *http.Response) error {
	body, release, err := relay.ReadBuffered(response)
	defer release()
	e.writeSpentHeader(w)
	if err != nil {
		failure := resultcode.Wrap(err, resultcode.ConnectionLost, "the response body ended early")
		failure.Execution = e.outcome
		return failure
	}
	e.handler.codeCounters.Count(resultcode.OK)
	e.handler.config.Counts.count(e.metadata.Priority, resultcode.OK)
	e.handler.writeHeader(w, response, e.outcome)
	if _, err := w.Write(body); err != nil && len(body) > 0 {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// relayBody relays the body and the trailers, with the spent allowance as a trailer. It
// aborts the stream when the body ends early, so that the receiver does not take the
// truncated response for a complete one.
func (e *execution) relayBody(w http.ResponseWriter, response *http.Response) {
	_, readErr, writeErr := relay.Copy(w, response.Body, relay.FlushNeeded(response.ContentLength))
	if readErr != nil || writeErr != nil || responsecheck.FieldNames(response.Trailer) != nil {
		panic(http.ErrAbortHandler)
	}
	relay.CopyTrailer(w, response.Trailer)
	if !e.closed {
		w.Header()[http.TrailerPrefix+call.HeaderSpent] = []string{e.close().String()}
	}
}

// writeSpentHeader reports the spent allowance in a header. It is used for
// responses without a trailer.
func (e *execution) writeSpentHeader(w http.ResponseWriter) {
	w.Header()[call.HeaderSpent] = []string{e.close().String()}
}

// close removes the attempt from the running attempts, closes its account and returns
// what its nested calls spent. It returns zero when the attempt was not opened or is
// already closed.
func (e *execution) close() call.Allowance {
	if e.closed || !e.opened {
		return call.Allowance{}
	}
	e.closed = true
	e.handler.config.RunningAttempts.Remove(e.metadata.Attempt)
	return e.handler.config.Ledger.Close(e.metadata.Attempt)
}

// complete reports the outcome to the key's owner, if the owner may have granted its
// permission and no outcome has been reported yet.
func (e *execution) complete(ctx context.Context) {
	if !e.permitted {
		return
	}
	e.permitted = false
	m := e.metadata
	e.handler.config.Guard.Complete(context.WithoutCancel(ctx), m.Service, m.Key, m.Attempt, e.outcome, e.status)
}

// release releases the slot and everything else that the attempt still holds. It must be
// called once, after all other methods.
func (e *execution) release() {
	e.slot.Release(e.outcome)
	e.close()
	e.complete(context.Background())
	if e.opened {
		// The caller's context also ends when the handler returns. Only when it
		// ends earlier has the caller disconnected.
		e.stopWatchingCaller()
	}
}
