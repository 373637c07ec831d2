package mesh

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// recentDurations is the number of latest calls of a kind from which its duration is estimated.
	recentDurations = 64
	// durationQuantile is the fraction of these calls that the estimate covers, and durationMargin
	// the factor by which it exceeds them, since calls may slow down.
	durationQuantile = 0.95
	durationMargin   = 1.25
	// maxDurationKinds bounds the kinds of calls whose durations are kept.
	maxDurationKinds = 1024
)

// shutdown decides which calls a node that shuts down still accepts: those that will probably
// have ended when it does. Other calls are refused, so that another node can serve them. It is
// safe for concurrent use.
type shutdown struct {
	// end is when in-flight calls are interrupted, nil while the node is not shutting down.
	end atomic.Pointer[time.Time]

	mu sync.Mutex
	// durations holds the durations of the latest calls of each kind.
	durations map[string]*durationRing
}

// durationRing holds the latest durations; next is the index of the oldest once it is full.
type durationRing struct {
	values []time.Duration
	next   int
}

func (r *durationRing) add(d time.Duration) {
	if len(r.values) < recentDurations {
		r.values = append(r.values, d)
		return
	}
	r.values[r.next] = d
	r.next = (r.next + 1) % recentDurations
}

// estimate returns the duration that most calls do not exceed.
func (r *durationRing) estimate() time.Duration {
	sorted := slices.Clone(r.values)
	slices.Sort(sorted)
	return time.Duration(durationMargin * float64(sorted[int(durationQuantile*float64(len(sorted)-1))]))
}

func newShutdown() *shutdown {
	return &shutdown{durations: make(map[string]*durationRing)}
}

// begin makes check refuse calls that do not end before the given time.
func (s *shutdown) begin(end time.Time) {
	s.end.Store(&end)
}

// observe records the duration of a call that has reached an upstream.
func (s *shutdown) observe(kind string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ring := s.durations[kind]
	if ring == nil {
		if len(s.durations) >= maxDurationKinds {
			return
		}
		ring = &durationRing{}
		s.durations[kind] = ring
	}
	ring.add(d)
}

// check returns an error if a call that starts now would probably outlast the node. A call whose
// deadline is earlier than the end never does. The duration of a kind without calls is taken to be
// fallback; with zero such a call is refused.
func (s *shutdown) check(now time.Time, kind string, deadline time.Time, fallback time.Duration) *resultcode.Error {
	end := s.end.Load()
	if end == nil || !deadline.After(*end) {
		return nil
	}
	expected := s.expected(kind, fallback)
	if remaining := end.Sub(now); expected == 0 || expected > remaining {
		return resultcode.New(resultcode.Draining, "this node ends in %s, and calls of kind %q may take %s", remaining.Round(time.Millisecond), kind, expected.Round(time.Millisecond))
	}
	return nil
}

// expected returns how long a call of a kind may take, zero if it is not known.
func (s *shutdown) expected(kind string, fallback time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ring := s.durations[kind]; ring != nil {
		return ring.estimate()
	}
	return fallback
}
