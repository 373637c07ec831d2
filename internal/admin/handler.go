// Package admin serves the listener for operators: health, readiness, metrics,
// profiles and the node's own status.
package admin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
)

// Config holds what the listener serves.
type Config struct {
	// Ready returns nil when the node takes calls, and otherwise the reason.
	Ready func() error
	// Metrics serves the Prometheus text format.
	Metrics http.Handler
	// Status returns a value that is encoded as JSON.
	Status func() any
	// Members returns the members table, encoded as JSON.
	Members func() any
}

// NewHandler returns the handler of the admin listener.
func NewHandler(config Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", readiness(config.Ready))
	mux.Handle("GET /metrics", config.Metrics)
	mux.HandleFunc("GET /status", jsonValue(config.Status))
	mux.HandleFunc("GET /members", jsonValue(config.Members))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

func readiness(ready func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}
}

func jsonValue(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(value())
	}
}
