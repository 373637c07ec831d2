package balancer

import (
	"math"
	"time"
)

const (
	// maxKinds bounds the memory for latencies per kind. The least recently used kind
	// is evicted first.
	maxKinds = 64
	// kindWeight is the lowest weight of a new latency in a kind's mean.
	kindWeight = 0.02
)

// kindTable holds the latencies of each kind over all instances.
type kindTable struct {
	kinds map[string]*kindStats
}

func newKindTable() *kindTable {
	return &kindTable{kinds: make(map[string]*kindStats)}
}

// get returns the statistics of a kind and records that the kind is used at now. A new
// kind replaces the least recently used one when the table is full.
func (k *kindTable) get(now time.Time, name string) *kindStats {
	s, ok := k.kinds[name]
	if !ok {
		if len(k.kinds) >= maxKinds {
			k.evictLeastRecentlyUsed()
		}
		s = &kindStats{}
		k.kinds[name] = s
	}
	s.lastUsed = now
	return s
}

func (k *kindTable) evictLeastRecentlyUsed() {
	var oldest string
	var used time.Time
	for name, s := range k.kinds {
		if oldest == "" || s.lastUsed.Before(used) {
			oldest, used = name, s.lastUsed
		}
	}
	delete(k.kinds, oldest)
}

// kindStats holds the latencies of one kind over all instances.
type kindStats struct {
	// mean is the moving mean latency in seconds, zero when nothing is known.
	mean float64
	// logMean is the moving mean of the natural logarithm of the latency in seconds.
	logMean  float64
	samples  int
	lastUsed time.Time
	recent   histogram
}

// add adds the latency of a successful call. The first latencies have equal weights in
// the mean, until the weight of a new one has fallen to kindWeight.
func (s *kindStats) add(now time.Time, latency time.Duration) {
	seconds := latency.Seconds()
	s.samples++
	weight := max(kindWeight, 1/float64(s.samples))
	s.mean += weight * (seconds - s.mean)
	if seconds > 0 {
		s.logMean += weight * (math.Log(seconds) - s.logMean)
	}
	s.recent.add(now, latency)
}
