package upstream

import (
	"encoding/json"
	"net/http"
	"time"
)

// Stats counts the calls of an instance.
type Stats struct {
	// Started counts the calls that got a slot.
	Started int `json:"started"`
	// Completed counts the calls that ran to the end, also those that Fails makes fail, but
	// not those that failed because a nested call failed.
	Completed int `json:"completed"`
	// Abandoned counts the calls whose request body ended early or whose caller
	// disconnected during the work.
	Abandoned int `json:"abandoned"`
	// NestedFailures counts the calls that failed because a nested call failed.
	NestedFailures int `json:"child_failures"`
	// Executions counts started calls by test id.
	Executions map[string]int `json:"executions"`
}

// loadSample is the number of slots in use at one time.
type loadSample struct {
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

func (s *Server) recordNestedFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.NestedFailures++
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Executions = make(map[string]int, len(s.stats.Executions))
	for id, n := range s.stats.Executions {
		stats.Executions[id] = n
	}
	return stats
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}

// handleLoad reports the number of slots in use with a lag. Each request takes a sample;
// the response is the newest sample that is at least LoadLag old, or the oldest sample
// when there is none of that age.
func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	s.loadSamples = append(s.loadSamples, loadSample{at: now, running: len(s.slots)})
	for len(s.loadSamples) > 1 && now.Sub(s.loadSamples[1].at) >= s.config.LoadLag {
		s.loadSamples = s.loadSamples[1:]
	}
	sample := s.loadSamples[0]
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"running": sample.running})
}
