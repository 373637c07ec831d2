package balancer

import (
	"math"
	"time"
)

const (
	// histogramFirst is the upper bound of the first of histogramSize buckets. Each next
	// upper bound is histogramGrowth times the one before, so the last one is above a
	// minute.
	histogramFirst  = 50 * time.Microsecond
	histogramGrowth = 1.25
	histogramSize   = 64
	// histogramHalfLife is the interval after which the counts are halved.
	histogramHalfLife = 5 * time.Second
)

// histogram counts recent latencies in buckets of exponentially growing width.
type histogram struct {
	counts [histogramSize]uint32
	// total is the sum of counts.
	total    uint32
	halvedAt time.Time
}

var inverseLogGrowth = 1 / math.Log(histogramGrowth)

// bucketOf returns the index of the bucket that counts d. The last bucket also counts
// all longer latencies.
func bucketOf(d time.Duration) int {
	if d <= histogramFirst {
		return 0
	}
	i := math.Ceil(math.Log(float64(d)/float64(histogramFirst)) * inverseLogGrowth)
	return min(int(i), histogramSize-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(histogramFirst) * math.Pow(histogramGrowth, float64(bucket)))
}

func (h *histogram) add(now time.Time, d time.Duration) {
	if now.Sub(h.halvedAt) >= histogramHalfLife {
		h.halve()
		h.halvedAt = now
	}
	h.counts[bucketOf(d)]++
	h.total++
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds the q-quantile, zero when
// the histogram is empty.
func (h *histogram) quantile(q float64) time.Duration {
	above := uint32(float64(h.total) * (1 - q))
	var sum uint32
	for i := histogramSize - 1; i >= 0; i-- {
		sum += h.counts[i]
		if sum > above {
			return upperBound(i)
		}
	}
	return 0
}
