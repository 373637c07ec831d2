// Package admin serves the operators' listener: health, readiness, metrics,
// profiles, the node's status and the member table.
package admin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
)

// Config holds the sources of what the listener serves. All are required.
type Config struct {
	// Ready returns nil while new calls should be sent to the node, and otherwise the
	// reason why they should not.
	Ready func() error
	// Metrics serves the Prometheus text format.
	Metrics http.Handler
	// Status returns the node's status, which is encoded as JSON.
	Status func() any
	// Members returns the member table, which is encoded as JSON.
	Members func() any
}

// NewHandler returns the handler of the admin listener.
func NewHandler(config Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", readinessHandler(config.Ready))
	mux.Handle("GET /metrics", config.Metrics)
	mux.HandleFunc("GET /status", jsonHandler(config.Status))
	mux.HandleFunc("GET /members", jsonHandler(config.Members))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

func readinessHandler(ready func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}
}

func jsonHandler(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(value())
	}
}
