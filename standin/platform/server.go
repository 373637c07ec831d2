// Package platform is a stand-in for the platform's object API: an in-memory
// store over HTTP with faults that can be changed while it runs.
package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// maxWait bounds how long a watch waits for events; a longer wait_ms is shortened to it.
const maxWait = 5 * time.Minute

// NewHandler serves the object API under /v1 and the control endpoints under
// /control.
func NewHandler(s *platformtest.Store) http.Handler {
	h := &handler{store: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", h.list)
	mux.HandleFunc("GET /v1/objects/{key...}", h.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", h.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", h.remove)
	mux.HandleFunc("GET /v1/watch", h.watch)
	mux.HandleFunc("GET /control/faults", h.getFaults)
	mux.HandleFunc("PUT /control/faults", h.putFaults)
	mux.HandleFunc("GET /control/counts", h.getCounts)
	mux.HandleFunc("POST /control/compact", h.compact)
	return mux
}

type handler struct {
	store *platformtest.Store
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	o, err := h.store.Get(r.Context(), r.PathValue("key"))
	respond(w, o, err)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	l, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	respond(w, l, err)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	version, ok := queryNumber(w, r, "if_version")
	if !ok {
		return
	}
	var body struct {
		Value []byte `json:"value"`
	}
	if !decode(w, r, &body) {
		return
	}
	o, err := h.store.Update(r.Context(), r.PathValue("key"), version, body.Value)
	if err == nil {
		o.Value = nil
	}
	respond(w, o, err)
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	version, ok := queryNumber(w, r, "if_version")
	if !ok {
		return
	}
	err := h.store.Delete(r.Context(), r.PathValue("key"), version)
	if err != nil {
		respond(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	after, ok := queryNumber(w, r, "after")
	if !ok {
		return
	}
	waitMs, ok := queryNumber(w, r, "wait_ms")
	if !ok {
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	e, err := h.store.WatchFor(r.Context(), r.URL.Query().Get("prefix"), after, wait)
	respond(w, e, err)
}

// queryNumber returns a required query parameter that holds a whole number of at least
// zero. If the parameter is invalid, it responds with status 400 and returns false.
func queryNumber(w http.ResponseWriter, r *http.Request, name string) (int64, bool) {
	text := r.URL.Query().Get(name)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		http.Error(w, name+" must be a whole number of at least 0, not "+strconv.Quote(text), http.StatusBadRequest)
		return 0, false
	}
	return n, true
}
