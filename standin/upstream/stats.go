package upstream

import (
	"encoding/json"
	"net/http"
	"time"
)

// Stats counts what an instance did.
type Stats struct {
	Started        int `json:"started"`
	Completed      int `json:"completed"`
	Abandoned      int `json:"abandoned"`
	NestedFailures int `json:"child_failures"`
	// Executions counts starts by test id.
	Executions map[string]int `json:"executions"`
}

type loadReading struct {
	at      time.Time
	running int
}

func (s *Server) recordStart(testID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Started++
	if testID != "" {
		s.stats.Executions[testID]++
	}
}

func (s *Server) recordCompleted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Completed++
}

func (s *Server) recordAbandoned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Abandoned++
}

func (s *Server) recordChildFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.NestedFailures++
}

// Stats returns a copy.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.stats
	copied.Executions = make(map[string]int, len(s.stats.Executions))
	for id, n := range s.stats.Executions {
		copied.Executions[id] = n
	}
	return copied
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}

// handleLoad reports the number of running calls as it was LoadLag ago.
func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	s.load = append(s.load, loadReading{at: now, running: len(s.slots)})
	for len(s.load) > 1 && now.Sub(s.load[1].at) >= s.config.LoadLag {
		s.load = s.load[1:]
	}
	reading := s.load[0]
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"running": reading.running})
}
