package peer

import (
	"context"
	"net/http"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// execution is one admitted attempt at the upstream beside this node.
type execution struct {
	handler   *Handler
	metadata  call.Metadata
	slot      *admission.Slot
	permitted bool
	opened    bool
	parent    *upstream.ParentCall
	closed    bool
	abandon   context.CancelFunc
	stopWatch func() bool
	// outcome is reported to admission and to the key's owner.
	outcome resultcode.Execution
	status  int
}

// permit obtains the permission to run a non-idempotent call.
func (e *execution) permit(ctx context.Context) error {
	e.outcome = resultcode.NotRun
	if e.metadata.Idempotent {
		return nil
	}
	guard := e.handler.config.Guard
	if guard == nil {
		return resultcode.New(resultcode.OwnerUnavailable, "this node keeps no idempotency keys")
	}
	m := e.metadata
	err := guard.Acquire(ctx, m.Service, m.Key, m.Attempt)
	// The owner may have granted a permission whose answer this node did not
	// wait for.
	e.permitted = err == nil || ctx.Err() != nil
	return err
}

// open enters the attempt in the record of running attempts.
func (e *execution) open(caller context.Context) error {
	abandoned, abandon := context.WithCancel(context.WithoutCancel(caller))
	parent, fresh := e.handler.config.RunningAttempts.Add(abandoned, e.metadata, e.slot.NestedCallShed)
	if !fresh {
		abandon()
		e.permitted = false
		return resultcode.New(resultcode.KeyInProgress, "attempt %s runs already", e.metadata.Attempt)
	}
	e.opened = true
	e.parent = parent
	e.abandon = abandon
	e.stopWatch = context.AfterFunc(caller, abandon)
	e.handler.config.Ledger.Open(e.metadata.Attempt, e.metadata.Allowance)
	return nil
}

// run sends the call and relays the response. An error means that nothing of a
// response was written.
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
		return e.relayShort(w, response)
	}
	e.handler.counts.Count(resultcode.OK)
	e.handler.config.Counts.count(e.metadata.Priority, resultcode.OK)
	e.handler.writeHeader(w, response, e.outcome)
	e.relayBody(w, response)
	return nil
}

// relayShort reads a short body before it sends the header. That saves a frame
// for the trailer, and a body that ends early can still be reported with a code.
func (e *execution) relayShort(w http.ResponseWriter, response *http.Response) error {
	body, release, err := relay.ReadBuffered(response)
	defer release()
	e.writeSpentHeader(w)
	if err != nil {
		failure := resultcode.Wrap(err, resultcode.ConnectionLost, "the response body ended early")
		failure.Execution = e.outcome
		return failure
	}
	e.handler.counts.Count(resultcode.OK)
	e.handler.config.Counts.count(e.metadata.Priority, resultcode.OK)
	e.handler.writeHeader(w, response, e.outcome)
	if _, err := w.Write(body); err != nil && len(body) > 0 {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// relayBody aborts the stream when the body ends early, so that the end is not
// taken for a complete response.
func (e *execution) relayBody(w http.ResponseWriter, response *http.Response) {
	_, readErr, writeErr := relay.Copy(w, response.Body, relay.FlushNeeded(response.ContentLength))
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	relay.CopyTrailer(w, response.Trailer)
	if !e.closed {
		w.Header()[http.TrailerPrefix+call.HeaderSpent] = []string{e.close().String()}
	}
}

// writeSpentHeader reports the spent allowance in a header, where no trailer
// follows.
func (e *execution) writeSpentHeader(w http.ResponseWriter) {
	w.Header()[call.HeaderSpent] = []string{e.close().String()}
}

// close ends the attempt's account and its entry among the running attempts.
func (e *execution) close() call.Allowance {
	if e.closed || !e.opened {
		return call.Allowance{}
	}
	e.closed = true
	e.handler.config.RunningAttempts.Remove(e.metadata.Attempt)
	return e.handler.config.Ledger.Close(e.metadata.Attempt)
}

// complete reports the outcome to the key's owner once.
func (e *execution) complete(ctx context.Context) {
	if !e.permitted {
		return
	}
	e.permitted = false
	m := e.metadata
	e.handler.config.Guard.Complete(context.WithoutCancel(ctx), m.Service, m.Key, m.Attempt, e.outcome, e.status)
}

// end gives back the slot and whatever else is still held.
func (e *execution) end() {
	e.slot.Release(e.outcome)
	e.close()
	e.complete(context.Background())
	if e.opened {
		// The caller's context also ends with the handler; only an end before
		// that means that the caller has gone.
		e.stopWatch()
	}
}
