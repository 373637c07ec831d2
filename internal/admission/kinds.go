package admission

import (
	"math"
	"time"
)

const (
	// maxKinds bounds the memory for statistics of kinds. Beyond it, a new kind replaces
	// the least recently used one without running or queued calls, if there is one.
	maxKinds = 256
	// serviceTimeWeight is the lowest weight of a new service time in a mean service
	// time.
	serviceTimeWeight = 0.05
	// kindTimeConstant is the time constant with which the sums of a kind's calls and
	// of their slot time decay.
	kindTimeConstant = 30 * time.Second
	// A kind becomes long when its mean service time, or the mean age of its running
	// calls, is at least longFactor times the shortest mean. It stays long until both are
	// below longExitFactor times the shortest mean.
	longFactor     = 4.0
	longExitFactor = 3.0
	// The shortest mean is taken only over kinds that have at least these fractions of
	// the calls and of the slot time. Otherwise a health check that takes microseconds
	// would make all real work long.
	shortCallFraction     = 0.05
	shortSlotTimeFraction = 0.01
	// minLongRunning is the number of running calls of a kind from which their mean age
	// is used as a lower bound of the kind's service time, until as many service times of
	// the kind are recorded.
	minLongRunning = 3
)

// kindTable holds the statistics of each kind of call.
type kindTable struct {
	kinds map[string]*kindStats
	// mean is the moving mean of the service time in seconds over all kinds, zero before
	// the first service time is recorded.
	mean float64
	// lastNestedShed is shared by the nested levels of all kinds.
	lastNestedShed lastNestedShed
}

func newKindTable() *kindTable {
	return &kindTable{kinds: make(map[string]*kindStats)}
}

// get returns the statistics of a kind and records that the kind is used at now. It
// creates the statistics of a new kind, which may evict another kind.
func (k *kindTable) get(now time.Time, name string) *kindStats {
	s, ok := k.kinds[name]
	if !ok {
		if len(k.kinds) >= maxKinds {
			k.evictOldest()
		}
		s = &kindStats{probeWaitStart: now, nested: nestedLevel{lastShed: &k.lastNestedShed}}
		k.kinds[name] = s
	}
	s.lastUsed = now
	return s
}

// evictOldest deletes the least recently used kind. It skips kinds with running or
// queued calls, whose statistics are in use.
func (k *kindTable) evictOldest() {
	var oldest string
	var found *kindStats
	for name, s := range k.kinds {
		if s.running > 0 || s.queued > 0 {
			continue
		}
		if found == nil || s.lastUsed.Before(found.lastUsed) {
			oldest, found = name, s
		}
	}
	if found != nil {
		delete(k.kinds, oldest)
	}
}

// recordServiceTime adds a service time to the statistics of a kind and to the mean
// over all kinds.
func (k *kindTable) recordServiceTime(now time.Time, s *kindStats, service time.Duration) {
	seconds := service.Seconds()
	s.recordServiceTime(now, seconds)
	if k.mean == 0 {
		k.mean = seconds
		return
	}
	k.mean += serviceTimeWeight * (seconds - k.mean)
}

// classify decides which kinds are long and reports whether any kind changed.
func (k *kindTable) classify(now time.Time) bool {
	reference := k.shortestMean(now)
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

// shortestMean returns the smallest mean service time, in seconds, among kinds with a
// significant fraction of the traffic, zero when there is none.
func (k *kindTable) shortestMean(now time.Time) float64 {
	var calls, slotTime float64
	for _, s := range k.kinds {
		s.decay(now)
		calls += s.calls
		slotTime += s.slotTime
	}
	smallest := math.Inf(1)
	for _, s := range k.kinds {
		if s.samples == 0 || s.calls < shortCallFraction*calls || s.slotTime < shortSlotTimeFraction*slotTime {
			continue
		}
		smallest = min(smallest, s.mean)
	}
	if math.IsInf(smallest, 1) {
		return 0
	}
	return smallest
}
