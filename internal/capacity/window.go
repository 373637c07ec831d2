package capacity

import "slices"

// windowSlices is the number of slices in a window. Together they last longer than the moments of
// slowness that are left out of it.
const windowSlices = 10

// window holds the latest slices under one limit.
type window struct {
	slices []*sums
	// merged is the result of sums, nil if it is out of date.
	merged *sums
}

func (w *window) add(s *sums) {
	if len(w.slices) == windowSlices {
		w.slices = slices.Delete(w.slices, 0, 1)
	}
	w.slices = append(w.slices, s)
	w.merged = nil
}

// sums merges the slices without those that are clearly slower than the faster half.
func (w *window) sums() *sums {
	if w.merged == nil {
		w.merged = w.merge()
	}
	return w.merged
}

func (w *window) merge() *sums {
	all := mergeSums(w.slices)
	if len(w.slices) < 3 {
		return all
	}
	sorted := slices.Clone(w.slices)
	slices.SortStableFunc(sorted, func(a, b *sums) int {
		da, db := compare(all, a), compare(all, b)
		switch {
		case da.duration < db.duration:
			return -1
		case da.duration > db.duration:
			return 1
		}
		return 0
	})
	fast := mergeSums(sorted[:(len(sorted)+1)/2])
	kept := sorted[:0]
	for _, s := range sorted {
		if !compare(fast, s).slower() {
			kept = append(kept, s)
		}
	}
	return mergeSums(kept)
}

func mergeSums(all []*sums) *sums {
	merged := newSums()
	for _, s := range all {
		merged.add(s)
	}
	return merged
}

// joinWindows returns a window with the slices of a and then those of b.
func joinWindows(a, b *window) *window {
	w := &window{}
	for _, s := range slices.Concat(a.slices, b.slices) {
		w.add(s)
	}
	return w
}
