package platform

import (
	"net/http"
)

func (h *handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.store.Faults())
}

// putFaults changes the faults that the request body names, keeps the others and
// responds with all of them.
func (h *handler) putFaults(w http.ResponseWriter, r *http.Request) {
	faults := h.store.Faults()
	if !decode(w, r, &faults) {
		return
	}
	h.store.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

func (h *handler) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.store.Counts())
}

func (h *handler) compact(w http.ResponseWriter, _ *http.Request) {
	h.store.Compact()
	w.WriteHeader(http.StatusNoContent)
}
