package ingress

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// AnnouncementPath is the path at which the upstream sends its announcements.
const AnnouncementPath = "/mustardwing/v1/upstream"

// IsAnnouncement reports whether a request at the loopback listener is an announcement of the upstream.
// One that names a service is a call, whose path may be chosen by somebody for whom the upstream makes it.
func IsAnnouncement(r *http.Request) bool {
	return r.URL.Path == AnnouncementPath && len(r.Header[call.HeaderService]) == 0
}

// LoopbackConfig holds what the loopback listener needs.
type LoopbackConfig struct {
	Config
	Upstream *upstream.Upstream
	// RunningAttempts and Ledger are shared with the peer handler.
	RunningAttempts *upstream.InFlightAttempts
	Ledger          *retry.Ledger
}

// LoopbackHandler serves the loopback listener: announcements of the upstream and
// the calls that it makes.
type LoopbackHandler struct {
	calls  callHandler
	config LoopbackConfig
}

// NewLoopbackHandler returns the handler of the loopback listener.
func NewLoopbackHandler(config LoopbackConfig) *LoopbackHandler {
	return &LoopbackHandler{calls: newCallHandler(config.Config, "loopback_calls"), config: config}
}

// ServeHTTP implements http.Handler.
func (h *LoopbackHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if IsAnnouncement(r) {
		h.serveAnnouncement(w, r)
		return
	}
	ctx, span := relay.StartSpan(r.Context(), h.calls.config.Tracer, "mustardwing.loopback", r.Header)
	defer span.End()
	defer limitUnreadBody(w, r)
	hints, err := h.calls.checkRequest(w, r)
	if err != nil {
		h.calls.writeFailure(w, hints.RequestID, err)
		return
	}
	attempt, err := call.ParseAttempt(r.Header)
	if err != nil {
		h.calls.writeFailure(w, hints.RequestID, err)
		return
	}
	if parent, ok := h.config.RunningAttempts.Find(attempt); ok {
		h.serveNestedCall(ctx, w, r, hints, parent)
		return
	}
	h.serveWithoutParent(ctx, w, r, hints)
}

// serveWithoutParent serves a call whose parent is unknown: one of a background job
// of the upstream, or one that outlived its parent. It has no allowance and at most
// normal priority.
func (h *LoopbackHandler) serveWithoutParent(ctx context.Context, w http.ResponseWriter, r *http.Request, hints call.Hints) {
	if err := h.calls.config.Drain.Enter(); err != nil {
		h.calls.writeFailure(w, hints.RequestID, err)
		return
	}
	defer h.calls.config.Drain.Leave()
	m, values := h.calls.rootMetadata(r, hints)
	m.Allowance = call.Allowance{}
	m.Priority = min(m.Priority, call.Normal)
	h.calls.serve(ctx, w, r, m, values, nil)
}

// serveNestedCall serves a nested call that the upstream makes while it runs parent. The
// call ends when the caller of parent disconnects.
func (h *LoopbackHandler) serveNestedCall(ctx context.Context, w http.ResponseWriter, r *http.Request, hints call.Hints, parent *upstream.ParentCall) {
	h.calls.config.Drain.EnterNested()
	defer h.calls.config.Drain.Leave()
	if parent.Depth >= call.MaxDepth {
		h.calls.writeFailure(w, parent.RequestID, resultcode.New(resultcode.DepthExceeded, "nested call of a call at depth %d: want at most %d", parent.Depth, call.MaxDepth))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(parent.CallerContext, cancel)()
	m, values := h.nestedMetadata(r, hints, parent)
	m.Allowance = h.config.Ledger.Reserve(parent.Attempt)
	h.calls.serve(ctx, w, r, m, values, &reservation{ledger: h.config.Ledger, parent: parent, reserved: m.Allowance})
}

// nestedMetadata returns the metadata of a nested call without its allowance, and the
// settings in force for it. Of the hints in the upstream's request it uses Service, Kind,
// Key and NonIdempotent, and Priority and Timeout where they are lower than the parent's
// priority and the timeout setting.
func (h *LoopbackHandler) nestedMetadata(r *http.Request, hints call.Hints, parent *upstream.ParentCall) (call.Metadata, settings.Values) {
	m, values := h.calls.baseMetadata(r, hints)
	m.RequestID = parent.RequestID
	m.Priority = min(parent.Priority, hints.Priority)
	if parent.Deadline.Before(m.Deadline) {
		m.Deadline = parent.Deadline
	}
	m.Depth = parent.Depth + 1
	m.Lineage = hints.Key
	if hints.Key == uuid.Nil {
		m.Lineage = parent.NextLineage(m.Service, m.Kind)
	}
	h.calls.setKey(&m)
	return m, values
}

// reservation is the share of a parent's allowance that is reserved for a nested
// call.
type reservation struct {
	ledger   *retry.Ledger
	parent   *upstream.ParentCall
	reserved call.Allowance
}

// refund ends the reservation and returns what the nested call did not spend.
func (r *reservation) refund(spent call.Allowance) {
	r.ledger.Refund(r.parent.Attempt, r.reserved, spent)
}

// nestedCallShed forfeits the retries that the parent has left, since a retry would
// meet the same overload. It also notifies admission, which learns which calls fail
// because of shed nested calls.
func (r *reservation) nestedCallShed() {
	r.ledger.Forfeit(r.parent.Attempt)
	r.parent.NestedCallShed()
}
