// Package ingress accepts calls from callers and from the upstream of this node.
package ingress

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/drain"
	"github.com/mustardwing/mustardwing/internal/peer"
	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/router"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Settings resolves the settings in force.
type Settings interface {
	Resolve(settings.Path) settings.Values
	// MatchKind returns the first kind of the service whose method and path
	// prefix match the request, and the empty string when none does.
	MatchKind(service, method, path string) string
}

// Config holds what the caller listener and the loopback listener both need.
type Config struct {
	// Region is the region of this node.
	Region   string
	Settings Settings
	Router   *router.Router
	Drain    *drain.State
	Logger   zerolog.Logger
	// Scope, Tracer and Now may be nil: then no metrics and no spans are recorded, and
	// time.Now is the clock.
	Scope  tally.Scope
	Tracer trace.Tracer
	Now    func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Tracer == nil {
		c.Tracer = relay.NoTracer()
	}
	return c
}

// CallerHandler serves the caller listener.
type CallerHandler struct {
	calls callHandler
}

// NewCallerHandler returns the handler of the caller listener.
func NewCallerHandler(config Config) *CallerHandler {
	return &CallerHandler{calls: newCallHandler(config, "caller_calls")}
}

// ServeHTTP implements http.Handler.
func (h *CallerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, span := relay.StartSpan(r.Context(), h.calls.config.Tracer, "mustardwing.caller", r.Header)
	defer span.End()
	defer limitUnreadBody(w, r)
	hints, err := h.calls.checkRequest(w, r)
	if err == nil {
		err = h.calls.config.Drain.Enter()
	}
	if err != nil {
		h.calls.writeFailure(w, hints.RequestID, err)
		return
	}
	defer h.calls.config.Drain.Leave()
	m, values := h.calls.rootMetadata(r, hints)
	h.calls.serve(ctx, w, r, m, values, nil)
}

// callHandler accepts and serves calls for both listeners.
type callHandler struct {
	config       Config
	codeCounters *relay.Counters
	// aborted counts responses whose body ended early or could not be written in full.
	aborted tally.Counter
}

// newCallHandler returns a handler whose metrics have the given name as their prefix.
func newCallHandler(config Config, name string) callHandler {
	config = config.withDefaults()
	return callHandler{config: config, codeCounters: relay.NewCounters(config.Scope, name), aborted: config.Scope.Counter(name + "_aborted")}
}

// checkRequest checks a request as far as is possible without the settings of its
// service, and allows an early response. The Service of the hints it returns is valid;
// it comes from the host when the header is absent. The hints it returns with an error
// are empty, unless the error is that the request names no service.
func (h *callHandler) checkRequest(w http.ResponseWriter, r *http.Request) (call.Hints, error) {
	allowEarlyResponse(w, r)
	if !r.ProtoAtLeast(1, 1) {
		return call.Hints{}, resultcode.New(resultcode.UnsupportedProtocol, "%s: want HTTP/1.1 or HTTP/2", r.Proto)
	}
	if r.Method == http.MethodConnect {
		return call.Hints{}, resultcode.New(resultcode.UnsupportedProtocol, "method CONNECT: want a request that can be forwarded")
	}
	if size := relay.HeaderBytes(r.Header); size > relay.MaxHeaderBytes {
		return call.Hints{}, resultcode.New(resultcode.HeadersTooLarge, "headers have %d bytes: want at most %d", size, relay.MaxHeaderBytes)
	}
	hints, err := call.ParseHints(r.Header)
	if err != nil {
		return hints, err
	}
	if hints.Service == "" {
		hints.Service = serviceOfHost(r.Host)
	}
	if !call.ValidName(hints.Service) {
		return hints, resultcode.New(resultcode.UnknownService, "host %q names no service: want one as the first label or in %s", r.Host, call.HeaderService)
	}
	return hints, nil
}

// serviceOfHost returns the first label of the host in lower case, without a port.
func serviceOfHost(host string) string {
	label, _, _ := strings.Cut(host, ".")
	label, _, _ = strings.Cut(label, ":")
	return strings.ToLower(label)
}

// rootMetadata returns the metadata of a root request, a call without a parent, and the
// settings in force for it. It issues a request ID when the caller sent none.
func (h *callHandler) rootMetadata(r *http.Request, hints call.Hints) (call.Metadata, settings.Values) {
	m, values := h.baseMetadata(r, hints)
	if m.RequestID == uuid.Nil {
		m.RequestID = newUUIDv7()
	}
	m.Allowance = call.Allowance{Retries: uint16(values.Retries), Moves: uint16(values.Moves)}
	m.Lineage = m.RequestID
	if hints.Key != uuid.Nil {
		m.Lineage = hints.Key
	} else if !m.Idempotent {
		m.Lineage = newUUIDv7()
	}
	h.setKey(&m)
	return m, values
}

// baseMetadata returns the metadata that depends only on the settings and on the
// hints in the request, and the settings in force for the call's kind.
func (h *callHandler) baseMetadata(r *http.Request, hints call.Hints) (call.Metadata, settings.Values) {
	kind := hints.Kind
	if kind == "" {
		kind = h.config.Settings.MatchKind(hints.Service, r.Method, r.URL.Path)
	}
	if kind == "" {
		kind = call.DefaultKind
	}
	values := h.config.Settings.Resolve(settings.Path{Region: h.config.Region, Service: hints.Service, Kind: kind})
	return call.Metadata{
		RequestID:  hints.RequestID,
		Service:    hints.Service,
		Kind:       kind,
		Priority:   min(values.Priority, hints.Priority),
		Deadline:   h.config.Now().Add(min(values.Timeout, hints.Timeout)),
		Idempotent: !hints.NonIdempotent && isIdempotent(values.Idempotent, r.Method),
	}, values
}

// setKey sets the idempotency key of a non-idempotent call, which is its lineage.
func (h *callHandler) setKey(m *call.Metadata) {
	if !m.Idempotent {
		m.Key = m.Lineage
	}
}

// isIdempotent returns the idempotence that the setting states, or else that of the
// method.
func isIdempotent(setting settings.Idempotence, method string) bool {
	switch setting {
	case settings.IdempotentYes:
		return true
	case settings.IdempotentNo:
		return false
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func newUUIDv7() uuid.UUID {
	return uuid.Must(uuid.NewV7())
}

// writeFailure responds with the result code of err and, unless it is zero, the request ID.
func (h *callHandler) writeFailure(w http.ResponseWriter, id uuid.UUID, err error) {
	failure := resultcode.From(err)
	h.codeCounters.Count(failure.Code)
	if id != uuid.Nil {
		w.Header()[call.HeaderRequestID] = []string{id.String()}
	}
	relay.WriteFailure(w, failure)
}

// parentAttempt receives what a nested call reports to the running attempt that made it.
type parentAttempt interface {
	// refund returns the allowance that the nested call did not spend.
	refund(spent call.Allowance)
	// nestedCallShed reports that the nested call was refused for lack of capacity
	// or time.
	nestedCallShed()
}

// serve routes a call and responds to it. parent is nil for a call without a known
// parent.
func (h *callHandler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, m call.Metadata, values settings.Values, parent parentAttempt) {
	ctx, cancel := context.WithDeadline(ctx, m.Deadline.Add(responseGrace))
	defer cancel()
	if r.ContentLength > values.MaxBodyBytes {
		h.writeFailure(w, m.RequestID, resultcode.New(resultcode.BodyTooLarge, "body has %d bytes: want at most %d", r.ContentLength, values.MaxBodyBytes))
		return
	}
	if !h.config.Now().Before(m.Deadline) {
		h.writeFailure(w, m.RequestID, resultcode.New(resultcode.DeadlineInsufficient, "the deadline has passed"))
		return
	}
	defer newIODeadline(ctx, w, r.ContentLength != 0).release()
	request := peer.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: r.Header, ContentLength: r.ContentLength}
	source := newLimitedBody(r.Body, values.MaxBodyBytes)
	body := router.NewBody(source, r.ContentLength)
	routed, response, err := h.config.Router.Start(ctx, m, request, body, values.Hedge)
	if err != nil {
		refundParent(parent, routed.Finish())
		reportShed(parent, resultcode.From(err).Code)
		discardShortBody(w, r)
		keepConnection(w, r)
		h.writeFailure(w, m.RequestID, err)
		return
	}
	keepConnection(w, r)
	h.writeResponse(w, r, m, routed, response, parent)
}

// refundParent returns to the parent, if there is one, what a nested call did not spend
// of its share.
func refundParent(parent parentAttempt, spent call.Allowance) {
	if parent != nil {
		parent.refund(spent)
	}
}

// reportShed notifies the parent, if there is one, when the code means that its nested
// call was refused for lack of capacity or time.
func reportShed(parent parentAttempt, code resultcode.Code) {
	if parent != nil && (code == resultcode.Overloaded || code == resultcode.DeadlineInsufficient) {
		parent.nestedCallShed()
	}
}

// writeResponse relays a response, finishes the call and refunds the parent. It aborts an
// HTTP/1.1 connection or an HTTP/2 stream when the body ends early or cannot be written,
// so that the caller does not take the response for complete.
func (h *callHandler) writeResponse(w http.ResponseWriter, r *http.Request, m call.Metadata, routed *router.Call, response *peer.Response, parent parentAttempt) {
	finished := false
	finish := func() {
		if !finished {
			finished = true
			refundParent(parent, routed.Finish())
		}
	}
	defer finish()
	if parent != nil && response.NestedCallShed {
		parent.nestedCallShed()
	}
	h.codeCounters.Count(resultcode.OK)
	h.writeHeader(w, m, response)
	if !relay.HasBody(r.Method, response.Status, response.ContentLength) {
		return
	}
	_, readErr, writeErr := relay.Copy(w, response, relay.FlushNeeded(response.ContentLength))
	if readErr != nil || writeErr != nil {
		h.aborted.Inc(1)
		panic(http.ErrAbortHandler)
	}
	relay.CopyTrailer(w, response.Trailer())
	finish()
}

// writeHeader sends the header of a relayed response together with the headers of this
// node.
func (h *callHandler) writeHeader(w http.ResponseWriter, m call.Metadata, response *peer.Response) {
	header := w.Header()
	relay.CopyHeader(header, response.Header)
	values := []string{m.RequestID.String(), response.Header.Get(call.HeaderCode), response.Execution.String()}
	header[call.HeaderRequestID] = values[0:1:1]
	header[call.HeaderCode] = values[1:2:2]
	header[call.HeaderRun] = values[2:3:3]
	w.WriteHeader(response.Status)
}
