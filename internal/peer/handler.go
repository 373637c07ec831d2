// Package peer forwards calls between nodes over cleartext HTTP/2 and serves
// control messages on the same listener.
package peer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/drain"
	"github.com/mustardwing/mustardwing/internal/idempotency"
	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// HandlerConfig holds what a Handler needs.
type HandlerConfig struct {
	Upstream *upstream.Upstream
	// RunningAttempts and Ledger are shared with the loopback handler.
	RunningAttempts *upstream.InFlightAttempts
	Ledger          *retry.Ledger
	// Guard grants the permission to run non-idempotent calls; when it is nil, these
	// calls are refused.
	Guard idempotency.Guard
	Drain *drain.State
	// Counts counts the calls by priority; it may be nil.
	Counts *Counts
	// Control serves everything that is not a forwarded call: the connect-go
	// PeerService handler. When it is nil, the response is 404 Not Found.
	Control http.Handler
	Logger  zerolog.Logger
	// Scope, Tracer and Now may be nil: then no metrics and no spans are recorded, and
	// time.Now is the clock.
	Scope  tally.Scope
	Tracer trace.Tracer
	Now    func() time.Time
}

// Handler serves the peer listener.
type Handler struct {
	config       HandlerConfig
	codeCounters *relay.Counters
}

// NewHandler returns the handler of the peer listener.
func NewHandler(config HandlerConfig) *Handler {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Tracer == nil {
		config.Tracer = relay.NoTracer()
	}
	if config.Counts == nil {
		config.Counts = &Counts{}
	}
	return &Handler{config: config, codeCounters: relay.NewCounters(config.Scope, "peer_calls")}
}

// ServeHTTP implements http.Handler. A request with an attempt ID is a forwarded
// call; all others go to Control.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.Header[call.HeaderAttempt]) > 0 {
		h.serveCall(w, r)
		return
	}
	if h.config.Control != nil {
		h.config.Control.ServeHTTP(w, r)
		return
	}
	http.NotFound(w, r)
}

// serveCall serves a forwarded call. The response repeats the request ID and the attempt
// ID of the call.
func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	ctx, span := relay.StartSpan(r.Context(), h.config.Tracer, "mustardwing.peer", r.Header)
	defer span.End()
	m, err := call.ParseForward(r.Header, h.config.Now())
	w.Header()[call.HeaderRequestID] = []string{r.Header.Get(call.HeaderRequestID)}
	w.Header()[call.HeaderAttempt] = []string{r.Header.Get(call.HeaderAttempt)}
	if err != nil {
		h.writeFailure(w, err)
		return
	}
	if err := h.config.Drain.Enter(); err != nil {
		h.writeFailure(w, err)
		return
	}
	defer h.config.Drain.Leave()
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	if err := h.admitAndRun(ctx, w, r, m); err != nil {
		h.config.Counts.count(m.Priority, resultcode.From(err).Code)
		h.writeFailure(w, err)
	}
}

// writeFailure responds with the result code of err and the load of the instance.
func (h *Handler) writeFailure(w http.ResponseWriter, err error) {
	failure := resultcode.From(err)
	h.codeCounters.Count(failure.Code)
	w.Header()[call.HeaderLoad] = []string{h.config.Upstream.Admission().Load().String()}
	relay.WriteFailure(w, failure)
}

// admitAndRun waits for a slot and runs the call. When it returns an error, no part
// of a response has been written.
func (h *Handler) admitAndRun(ctx context.Context, w http.ResponseWriter, r *http.Request, m call.Metadata) error {
	if err := h.checkService(m.Service); err != nil {
		return err
	}
	slot, err := h.config.Upstream.Admission().Acquire(ctx, admission.Request{
		Kind: m.Kind, Priority: m.Priority, Rank: m.Rank(), Depth: m.Depth, Deadline: m.Deadline,
	})
	if err != nil {
		return admissionFailure(ctx, err)
	}
	e := &execution{handler: h, metadata: m, slot: slot}
	defer e.release()
	if err := e.acquirePermission(ctx); err != nil {
		return err
	}
	if err := e.open(r.Context()); err != nil {
		return err
	}
	if r.ContentLength < 0 || r.ContentLength > ContinueThreshold {
		w.WriteHeader(http.StatusContinue)
	}
	return e.run(ctx, w, r)
}

// admissionFailure changes CallerGone to DeadlineInsufficient when the context
// ended because the deadline passed in the queue, not because the caller
// disconnected.
func admissionFailure(ctx context.Context, err error) error {
	if resultcode.From(err).Code == resultcode.CallerGone && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return resultcode.Wrap(err, resultcode.DeadlineInsufficient, "the deadline passed in the queue")
	}
	return err
}

// checkService refuses calls for another service or an unavailable upstream, which
// arrive when the sender's member table is stale.
func (h *Handler) checkService(service string) error {
	state := h.config.Upstream.State()
	if !state.Announced || state.Service != service {
		return resultcode.New(resultcode.NoInstance, "service %q: the upstream of this node serves %q", service, state.Service)
	}
	if !state.Available() {
		return resultcode.New(resultcode.UpstreamUnreachable, "the upstream at %s is not ready", state.Address)
	}
	return nil
}

// writeHeader sends the upstream's response header together with the headers of
// this node.
func (h *Handler) writeHeader(w http.ResponseWriter, response *http.Response, outcome resultcode.Execution) {
	header := w.Header()
	relay.CopyHeader(header, response.Header)
	values := []string{strconv.Itoa(int(resultcode.OK)), outcome.String(), h.config.Upstream.Admission().Load().String()}
	header[call.HeaderCode] = values[0:1:1]
	header[call.HeaderRun] = values[1:2:2]
	header[call.HeaderLoad] = values[2:3:3]
	w.WriteHeader(response.StatusCode)
}
