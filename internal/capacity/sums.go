package capacity

import "math"

// maxKinds bounds the kinds in one sums. Calls of further kinds are not recorded.
const maxKinds = 64

// minWeight is the least weight of two sums from which their difference is known: about twice as
// many calls on each side.
const minWeight = 4.0

// sums describes calls that have ended, by kind.
type sums struct {
	kinds map[string]*kindSums
	calls float64
}

// kindSums holds the number of calls and the sums of the logarithm of their duration, of its square,
// and of the logarithm of the mean concurrency during the call.
type kindSums struct {
	calls, duration, squares, concurrency float64
}

func newSums() *sums {
	return &sums{kinds: make(map[string]*kindSums)}
}

func (s *sums) kind(name string) *kindSums {
	k := s.kinds[name]
	if k == nil && len(s.kinds) < maxKinds {
		k = &kindSums{}
		s.kinds[name] = k
	}
	return k
}

// record adds a call with a duration in seconds.
func (s *sums) record(name string, duration, concurrency float64) {
	k := s.kind(name)
	if k == nil {
		return
	}
	x := math.Log(duration)
	s.calls++
	k.calls++
	k.duration += x
	k.squares += x * x
	k.concurrency += math.Log(concurrency)
}

// add adds the calls of t.
func (s *sums) add(t *sums) {
	for name, other := range t.kinds {
		k := s.kind(name)
		if k == nil {
			continue
		}
		s.calls += other.calls
		k.calls += other.calls
		k.duration += other.duration
		k.squares += other.squares
		k.concurrency += other.concurrency
	}
}

// difference is how two sums differ, in logarithms, over the kinds that both have.
type difference struct {
	duration, concurrency float64
	// err is the standard error of duration.
	err   float64
	known bool
}

// compare returns how b differs from a. A kind counts by the precision of its own difference.
func compare(a, b *sums) difference {
	var d difference
	var weight, squares, freedom float64
	for name, ka := range a.kinds {
		kb := b.kinds[name]
		if kb == nil {
			continue
		}
		w := ka.calls * kb.calls / (ka.calls + kb.calls)
		weight += w
		d.duration += w * (kb.duration/kb.calls - ka.duration/ka.calls)
		d.concurrency += w * (kb.concurrency/kb.calls - ka.concurrency/ka.calls)
		squares += ka.squares - ka.duration*ka.duration/ka.calls + kb.squares - kb.duration*kb.duration/kb.calls
		freedom += ka.calls + kb.calls - 2
	}
	if weight < minWeight || freedom <= 0 {
		return difference{}
	}
	d.known = true
	d.duration /= weight
	d.concurrency /= weight
	d.err = math.Sqrt(max(0, squares) / freedom / weight)
	return d
}

// meanDuration returns the geometric mean of the durations in seconds.
func (s *sums) meanDuration() float64 {
	total := 0.0
	for _, k := range s.kinds {
		total += k.duration
	}
	return math.Exp(total / max(1, s.calls))
}

// slower reports whether the calls of the second sums took clearly longer.
func (d difference) slower() bool {
	return d.known && d.duration > max(suspectRise, suspectErrors*d.err)
}

// faster reports whether the calls of the second sums took clearly less time.
func (d difference) faster() bool {
	return d.known && -d.duration > max(suspectRise, suspectErrors*d.err)
}
