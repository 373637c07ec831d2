// Package ingress takes calls from callers and from the upstream beside this
// node.
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
	// prefix match, and the empty string when none does.
	MatchKind(service, method, path string) string
}

// Config holds what both listeners need.
type Config struct {
	// Region of this node.
	Region   string
	Settings Settings
	Router   *router.Router
	Drain    *drain.State
	Logger   zerolog.Logger
	// Scope, Tracer and Now may be nil.
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
	front front
}

// NewCallerHandler returns the handler of the caller listener.
func NewCallerHandler(config Config) *CallerHandler {
	return &CallerHandler{front: newFront(config, "caller_calls")}
}

// ServeHTTP implements http.Handler.
func (h *CallerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, span := relay.StartSpan(r.Context(), h.front.config.Tracer, "mustardwing.caller", r.Header)
	defer span.End()
	defer limitLeftover(w, r)
	hints, err := h.front.accept(w, r)
	if err == nil {
		err = h.front.config.Drain.Enter()
	}
	if err != nil {
		h.front.refuse(w, hints.RequestID, err)
		return
	}
	defer h.front.config.Drain.Leave()
	m, values := h.front.root(r, hints)
	h.front.serve(ctx, w, r, m, values, nil)
}

// front is what the two listeners have in common.
type front struct {
	config  Config
	counts  *relay.Counters
	aborted tally.Counter
}

func newFront(config Config, name string) front {
	config = config.withDefaults()
	return front{config: config, counts: relay.NewCounters(config.Scope, name), aborted: config.Scope.Counter(name + "_aborted")}
}

// accept checks what can be checked without knowing the service.
func (f *front) accept(w http.ResponseWriter, r *http.Request) (call.Hints, error) {
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

func serviceOfHost(host string) string {
	label, _, _ := strings.Cut(host, ".")
	label, _, _ = strings.Cut(label, ":")
	return strings.ToLower(label)
}

// root returns the metadata of a call without a parent.
func (f *front) root(r *http.Request, hints call.Hints) (call.Metadata, settings.Values) {
	m, values := f.describe(r, hints)
	if m.RequestID == uuid.Nil {
		m.RequestID = newTimeUUID()
	}
	m.Allowance = call.Allowance{Retries: uint16(values.Retries), Moves: uint16(values.Moves)}
	m.Lineage = m.RequestID
	if hints.Key != uuid.Nil {
		m.Lineage = hints.Key
	} else if !m.Idempotent {
		m.Lineage = newTimeUUID()
	}
	f.setKey(&m)
	return m, values
}

// describe fills in what depends on the settings and the caller's hints alone.
func (f *front) describe(r *http.Request, hints call.Hints) (call.Metadata, settings.Values) {
	kind := hints.Kind
	if kind == "" {
		kind = f.config.Settings.MatchKind(hints.Service, r.Method, r.URL.Path)
	}
	if kind == "" {
		kind = call.DefaultKind
	}
	values := f.config.Settings.Resolve(settings.Path{Region: f.config.Region, Service: hints.Service, Kind: kind})
	return call.Metadata{
		RequestID:  hints.RequestID,
		Service:    hints.Service,
		Kind:       kind,
		Priority:   min(values.Priority, hints.Priority),
		Deadline:   f.config.Now().Add(min(values.Timeout, hints.Timeout)),
		Idempotent: !hints.NonIdempotent && isIdempotent(values.Idempotent, r.Method),
	}, values
}

func (f *front) setKey(m *call.Metadata) {
	if !m.Idempotent {
		m.Key = m.Lineage
	}
}

func isIdempotent(setting settings.Idempotence, method string) bool {
	switch setting {
	case settings.IdempotentYes:
		return true
	case settings.IdempotentNo:
		return false
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func newTimeUUID() uuid.UUID {
	return uuid.Must(uuid.NewV7())
}

// refuse answers with a result code.
func (f *front) refuse(w http.ResponseWriter, id uuid.UUID, err error) {
	failure := resultcode.From(err)
	f.counts.Count(failure.Code)
	if id != uuid.Nil {
		w.Header()[call.HeaderRequestID] = []string{id.String()}
	}
	relay.WriteFailure(w, failure)
}

// child ties a call to the running attempt that made it.
type child interface {
	// settle reports what the call spent.
	settle(spent call.Allowance)
	// shed reports that the call was refused for want of capacity or time.
	shed()
}

// serve carries out a call and answers it.
func (f *front) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, m call.Metadata, values settings.Values, parent child) {
	ctx, cancel := context.WithDeadline(ctx, m.Deadline.Add(answerGrace))
	defer cancel()
	if r.ContentLength > values.MaxBodyBytes {
		f.refuse(w, m.RequestID, resultcode.New(resultcode.BodyTooLarge, "body has %d bytes: want at most %d", r.ContentLength, values.MaxBodyBytes))
		return
	}
	if !f.config.Now().Before(m.Deadline) {
		f.refuse(w, m.RequestID, resultcode.New(resultcode.DeadlineInsufficient, "no time is left"))
		return
	}
	defer limitIO(ctx, w, r.ContentLength != 0).release()
	request := peer.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: r.Header, ContentLength: r.ContentLength}
	source := newLimitedBody(r.Body, values.MaxBodyBytes)
	body := router.NewBody(source, r.ContentLength)
	outgoing, response, err := f.config.Router.Start(ctx, m, request, body, values.Hedge)
	if err != nil {
		settle(parent, outgoing.Finish())
		noteShed(parent, resultcode.From(err).Code)
		discardShort(w, r)
		keepConnection(w, r)
		f.refuse(w, m.RequestID, err)
		return
	}
	keepConnection(w, r)
	f.answer(w, r, m, outgoing, response, parent)
}

func settle(parent child, spent call.Allowance) {
	if parent != nil {
		parent.settle(spent)
	}
}

func noteShed(parent child, code resultcode.Code) {
	if parent != nil && (code == resultcode.Overloaded || code == resultcode.DeadlineInsufficient) {
		parent.shed()
	}
}

// answer relays a response; a body that ends early aborts the connection.
func (f *front) answer(w http.ResponseWriter, r *http.Request, m call.Metadata, outgoing *router.Call, response *peer.Response, parent child) {
	finished := false
	finish := func() {
		if !finished {
			finished = true
			settle(parent, outgoing.Finish())
		}
	}
	defer finish()
	if parent != nil && response.NestedCallShed {
		parent.shed()
	}
	f.counts.Count(resultcode.OK)
	f.writeHeader(w, m, response)
	if !relay.HasBody(r.Method, response.Status, response.ContentLength) {
		return
	}
	_, readErr, writeErr := relay.Copy(w, response, relay.FlushNeeded(response.ContentLength))
	if readErr != nil || writeErr != nil {
		f.aborted.Inc(1)
		panic(http.ErrAbortHandler)
	}
	relay.CopyTrailer(w, response.Trailer())
	finish()
}

func (f *front) writeHeader(w http.ResponseWriter, m call.Metadata, response *peer.Response) {
	header := w.Header()
	relay.CopyHeader(header, response.Header)
	values := []string{m.RequestID.String(), response.Header.Get(call.HeaderCode), response.Execution.String()}
	header[call.HeaderRequestID] = values[0:1:1]
	header[call.HeaderCode] = values[1:2:2]
	header[call.HeaderRun] = values[2:3:3]
	w.WriteHeader(response.Status)
}
