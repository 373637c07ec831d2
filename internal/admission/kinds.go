package admission

import (
	"math"
	"time"
)

const (
	// maxKinds bounds the memory for learned service times. The kind that was
	// not used for the longest time is forgotten first.
	maxKinds = 256
	// serviceWeight is the weight of one more service time in the mean.
	serviceWeight = 0.05
	// kindMemory is the time constant after which a kind's past volume no longer
	// counts as traffic.
	kindMemory = 30 * time.Second
	// longFactor makes a kind long when its mean is that many times the mean of
	// the shortest kinds; it stays long down to longReturnFactor.
	longFactor       = 4.0
	longReturnFactor = 3.0
	// A kind counts among the shortest kinds only with these parts of the calls
	// and of the slot time, so that a health check of microseconds does not make
	// all real work long.
	shortCallShare = 0.05
	shortWorkShare = 0.01
	// minLongRunning is how many calls of a kind must be running before their
	// age is taken as a lower bound of the kind's service time.
	minLongRunning = 3
)

// kindTable holds what is known about each kind of call.
type kindTable struct {
	kinds map[string]*kindStats
	// mean is the mean service time in seconds over all calls.
	mean float64
	// childQuiet is shared by the levels for calls shed below.
	childQuiet quietTime
}

func newKindTable() *kindTable {
	return &kindTable{kinds: make(map[string]*kindStats)}
}

// get returns the kind's entry, which is created when needed.
func (k *kindTable) get(now time.Time, name string) *kindStats {
	s, ok := k.kinds[name]
	if !ok {
		if len(k.kinds) >= maxKinds {
			k.forgetOldest()
		}
		s = &kindStats{lastRun: now, child: childLevel{quiet: &k.childQuiet}}
		k.kinds[name] = s
	}
	s.used = now
	return s
}

// forgetOldest keeps kinds with calls that run or wait: their entries are in use.
func (k *kindTable) forgetOldest() {
	var oldest string
	var found *kindStats
	for name, s := range k.kinds {
		if s.running > 0 || s.waiting > 0 {
			continue
		}
		if found == nil || s.used.Before(found.used) {
			oldest, found = name, s
		}
	}
	if found != nil {
		delete(k.kinds, oldest)
	}
}

// teach adds a service time.
func (k *kindTable) teach(now time.Time, s *kindStats, service time.Duration) {
	seconds := service.Seconds()
	s.add(now, seconds)
	if k.mean == 0 {
		k.mean = seconds
		return
	}
	k.mean += serviceWeight * (seconds - k.mean)
}

// classify decides which kinds are long and reports whether any changed.
func (k *kindTable) classify(now time.Time) bool {
	reference := k.shortest(now)
	changed := false
	for _, s := range k.kinds {
		long := s.isLong(now, reference)
		if long != s.long {
			s.long = long
			changed = true
		}
	}
	return changed
}

// shortest returns the smallest mean service time among kinds with a real part
// of the traffic, in seconds, or zero when nothing is known.
func (k *kindTable) shortest(now time.Time) float64 {
	var calls, work float64
	for _, s := range k.kinds {
		s.decay(now)
		calls += s.calls
		work += s.work
	}
	smallest := math.Inf(1)
	for _, s := range k.kinds {
		if s.samples == 0 || s.calls < shortCallShare*calls || s.work < shortWorkShare*work {
			continue
		}
		smallest = min(smallest, s.mean)
	}
	if math.IsInf(smallest, 1) {
		return 0
	}
	return smallest
}
