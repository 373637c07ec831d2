package ingress

import (
	"net/http"

	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

// serveAnnouncement applies an announcement of the upstream (PUT) or withdraws it
// (DELETE).
func (h *LoopbackHandler) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		if err := h.announce(r); err != nil {
			relay.WriteFailure(w, resultcode.From(err))
			return
		}
	case http.MethodDelete:
		h.config.Upstream.Withdraw()
	default:
		w.Header().Set("Allow", "PUT, DELETE")
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// announce parses the announcement in the request body and applies it.
func (h *LoopbackHandler) announce(r *http.Request) error {
	a, err := upstream.ParseAnnouncement(r.Body)
	if err != nil {
		return err
	}
	if err := h.config.Upstream.Announce(a); err != nil {
		return err
	}
	return nil
}
