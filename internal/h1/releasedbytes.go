package h1

import "runtime/metrics"

// gcCyclesMetric is the number of completed garbage collections.
const gcCyclesMetric = "/gc/cycles/total:gc-cycles"

// releasedBytes counts bytes that were released and may still take memory. They are free once two
// collections have completed after the release, since the first of them may have begun before it.
type releasedBytes struct {
	// collections is the number of completed collections at the latest release. recent is what was
	// released since then, older what was released since the one before.
	collections   uint64
	recent, older int64
}

// add records a release after a number of completed collections.
func (r *releasedBytes) add(collections uint64, bytes int64) {
	r.advance(collections)
	r.recent += bytes
}

// at returns how many bytes may still take memory after a number of completed collections.
func (r *releasedBytes) at(collections uint64) int64 {
	r.advance(collections)
	return r.recent + r.older
}

func (r *releasedBytes) advance(collections uint64) {
	switch collections {
	case r.collections:
		return
	case r.collections + 1:
		r.recent, r.older = 0, r.recent
	default:
		r.recent, r.older = 0, 0
	}
	r.collections = collections
}

// completedCollections returns the number of garbage collections that have completed so far.
func completedCollections() uint64 {
	sample := []metrics.Sample{{Name: gcCyclesMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
