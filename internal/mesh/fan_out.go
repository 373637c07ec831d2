package mesh

import "math"

const (
	// fanOutWeight is the lowest weight of a call in the mean of its kind.
	fanOutWeight = 0.05
	// maxFanOutKinds bounds the kinds whose mean is kept.
	maxFanOutKinds = 1024
)

// fanOut is the moving mean of the number of nested calls that successful calls of one kind
// made.
type fanOut struct {
	mean    float64
	samples int
}

// fanOuts holds the fan-out of each kind of call that the local upstream runs.
type fanOuts map[string]*fanOut

func (f fanOuts) observe(kind string, calls int) {
	s, ok := f[kind]
	if !ok {
		if len(f) >= maxFanOutKinds {
			return
		}
		s = &fanOut{}
		f[kind] = s
	}
	s.samples++
	s.mean += max(fanOutWeight, 1/float64(s.samples)) * (float64(calls) - s.mean)
}

// remaining returns how many nested calls a call of a kind probably still makes when it has
// made the given number before: one at least, which is about to be made.
func (f fanOuts) remaining(kind string, before int) int {
	s, ok := f[kind]
	if !ok {
		return 1
	}
	return max(1, int(math.Round(s.mean))-before)
}
