package mesh

import (
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/capacity"
)

// loggedChange is the part of the learned capacity by which it must have changed since the last
// log line.
const loggedChange = 0.5

// capacityReport reports the learned capacity of the upstream as metrics and log lines.
type capacityReport struct {
	learned, announced tally.Gauge
	log                zerolog.Logger
	// logged is the limit in the last log line for the instance, at first its announced slots.
	logged   int
	instance string
}

func newCapacityReport(scope tally.Scope, log zerolog.Logger) *capacityReport {
	return &capacityReport{learned: scope.Gauge("upstream_learned_capacity"), announced: scope.Gauge("upstream_slots"), log: log}
}

func (r *capacityReport) report(instance string, s capacity.Status) {
	r.learned.Update(float64(s.Limit))
	r.announced.Update(float64(s.Slots))
	if r.instance != instance {
		r.instance, r.logged = instance, s.Slots
	}
	// A probe may take its change back.
	if s.State == capacity.StateProbing {
		return
	}
	if change := float64(s.Limit - r.logged); max(change, -change) < loggedChange*float64(r.logged) {
		return
	}
	line := r.log.Info().Str("instance", instance).Int("from", r.logged).Int("to", s.Limit).Int("slots", s.Slots).Int("calls", s.Calls)
	if s.LastChange != nil {
		line = line.Str("reason", s.LastChange.Reason)
	}
	line.Msg("learned capacity of the upstream changed")
	r.logged = s.Limit
}

// Capacity returns what has been learned about the capacity of the upstream, and false while
// nothing is learned.
func (u *Upstream) Capacity() (capacity.Status, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current == nil {
		return capacity.Status{}, false
	}
	return u.current.admission.Capacity()
}

// ReportCapacity updates the metrics of the learned capacity and logs it if it has changed by half.
// It must not be called concurrently.
func (u *Upstream) ReportCapacity() {
	a, _ := u.Current()
	if s, known := u.Capacity(); known {
		u.capacity.report(a.ID, s)
	}
}
