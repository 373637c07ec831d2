package storesync

import "sync/atomic"

// eraTracker holds the highest era of the store that is known. The zero value knows none.
type eraTracker struct {
	known atomic.Uint64
}

// observe records an era. It reports whether the store has returned from an older copy since
// the last call.
func (t *eraTracker) observe(era uint64) (returned bool) {
	for known := t.known.Load(); era > known; known = t.known.Load() {
		if t.known.CompareAndSwap(known, era) {
			return known > 0
		}
	}
	return false
}
