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

// AnnouncementPath is where the upstream announces itself.
const AnnouncementPath = "/mustardwing/v1/upstream"

// LoopbackConfig holds what the loopback listener needs.
type LoopbackConfig struct {
	Config
	Upstream *upstream.Upstream
	// RunningAttempts and Ledger are shared with the peer handler.
	RunningAttempts *upstream.InFlightAttempts
	Ledger          *retry.Ledger
}

// LoopbackHandler serves the loopback listener: announcements and the outgoing
// calls of the upstream.
type LoopbackHandler struct {
	front  front
	config LoopbackConfig
}

// NewLoopbackHandler returns the handler of the loopback listener.
func NewLoopbackHandler(config LoopbackConfig) *LoopbackHandler {
	return &LoopbackHandler{front: newFront(config.Config, "loopback_calls"), config: config}
}

// ServeHTTP implements http.Handler.
func (h *LoopbackHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == AnnouncementPath {
		h.serveAnnouncement(w, r)
		return
	}
	ctx, span := relay.StartSpan(r.Context(), h.front.config.Tracer, "mustardwing.loopback", r.Header)
	defer span.End()
	defer limitLeftover(w, r)
	hints, err := h.front.accept(w, r)
	if err != nil {
		h.front.refuse(w, hints.RequestID, err)
		return
	}
	attempt, err := call.ParseAttempt(r.Header)
	if err != nil {
		h.front.refuse(w, hints.RequestID, err)
		return
	}
	if parent, ok := h.config.RunningAttempts.Find(attempt); ok {
		h.serveChild(ctx, w, r, hints, parent)
		return
	}
	h.serveOrphan(ctx, w, r, hints)
}

// serveOrphan carries out a call whose parent is unknown: a background job of
// the upstream, or one that outlived its parent.
func (h *LoopbackHandler) serveOrphan(ctx context.Context, w http.ResponseWriter, r *http.Request, hints call.Hints) {
	if err := h.front.config.Drain.Enter(); err != nil {
		h.front.refuse(w, hints.RequestID, err)
		return
	}
	defer h.front.config.Drain.Leave()
	m, values := h.front.root(r, hints)
	m.Allowance = call.Allowance{}
	m.Priority = min(m.Priority, call.Normal)
	h.front.serve(ctx, w, r, m, values, nil)
}

func (h *LoopbackHandler) serveChild(ctx context.Context, w http.ResponseWriter, r *http.Request, hints call.Hints, parent *upstream.ParentCall) {
	h.front.config.Drain.EnterNested()
	defer h.front.config.Drain.Leave()
	if parent.Depth >= call.MaxDepth {
		h.front.refuse(w, parent.RequestID, resultcode.New(resultcode.DepthExceeded, "call below depth %d: want at most %d", parent.Depth, call.MaxDepth))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(parent.CallerContext, cancel)()
	m, values := h.inherit(r, hints, parent)
	m.Allowance = h.config.Ledger.Reserve(parent.Attempt)
	h.front.serve(ctx, w, r, m, values, &share{ledger: h.config.Ledger, parent: parent, taken: m.Allowance})
}

// inherit returns the metadata of a child call. Only Service, Kind, Key and
// lower limits come from the upstream.
func (h *LoopbackHandler) inherit(r *http.Request, hints call.Hints, parent *upstream.ParentCall) (call.Metadata, settings.Values) {
	m, values := h.front.describe(r, hints)
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
	h.front.setKey(&m)
	return m, values
}

// share is the part of a parent's allowance that a child call has taken.
type share struct {
	ledger *retry.Ledger
	parent *upstream.ParentCall
	taken  call.Allowance
}

func (s *share) settle(spent call.Allowance) {
	s.ledger.Refund(s.parent.Attempt, s.taken, spent)
}

// shed spends what retries the parent has left, since another attempt would
// meet the same overload, and teaches admission which calls fail below.
func (s *share) shed() {
	s.ledger.Forfeit(s.parent.Attempt)
	s.parent.NestedCallShed()
}
