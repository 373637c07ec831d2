package balancer

import "time"

const (
	// maxKinds bounds the memory for latencies per kind. The kind that was not
	// used for the longest time is forgotten first.
	maxKinds = 64
	// kindWeight is the weight of one more latency in a kind's mean.
	kindWeight = 0.02
)

// kindTable holds the latencies of each kind over all instances.
type kindTable struct {
	kinds map[string]*kindStats
}

func newKindTable() *kindTable {
	return &kindTable{kinds: make(map[string]*kindStats)}
}

// get returns the entry of a kind, in place of the one that was not used for the
// longest time when the table is full.
func (k *kindTable) get(now time.Time, name string) *kindStats {
	s, ok := k.kinds[name]
	if !ok {
		if len(k.kinds) >= maxKinds {
			k.forgetOldest()
		}
		s = &kindStats{}
		k.kinds[name] = s
	}
	s.used = now
	return s
}

func (k *kindTable) forgetOldest() {
	var oldest string
	var used time.Time
	for name, s := range k.kinds {
		if oldest == "" || s.used.Before(used) {
			oldest, used = name, s.used
		}
	}
	delete(k.kinds, oldest)
}

// kindStats holds the latencies of one kind over all instances.
type kindStats struct {
	// mean is in seconds, zero when nothing is known.
	mean    float64
	samples int
	used    time.Time
	recent  histogram
}

func (s *kindStats) add(now time.Time, latency time.Duration) {
	seconds := latency.Seconds()
	s.samples++
	weight := max(kindWeight, 1/float64(s.samples))
	s.mean += weight * (seconds - s.mean)
	s.recent.add(now, latency)
}
