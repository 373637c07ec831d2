package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatencyMicros  = 1
	highestLatencyMicros = 120_000_000
	significantDigits    = 3
)

// ClassResult summarises one class.
type ClassResult struct {
	Offered   int64 `json:"offered"`
	Succeeded int64 `json:"succeeded"`
	Failed    int64 `json:"failed"`
	Dropped   int64 `json:"dropped"`
	Attempts  int64 `json:"attempts"`
	// Mismatched counts responses that belong to another request or to another body.
	Mismatched int64 `json:"mismatched"`
	// Codes counts failed attempts by result code and status, by "transport" for
	// those without a response, and by "truncated" for incomplete responses.
	Codes map[string]int64 `json:"codes"`
	// Timeline counts successful requests by the interval in which they finished;
	// Arrivals counts requests by the interval in which they arrived.
	Timeline []int64 `json:"timeline"`
	Arrivals []int64 `json:"arrivals"`
	P50Ms    float64 `json:"p50_ms"`
	P99Ms    float64 `json:"p99_ms"`

	histogram *hdrhistogram.Histogram
}

// Result summarises a run of the load generator.
type Result struct {
	mu       sync.Mutex
	started  time.Time
	interval time.Duration
	Classes  map[string]*ClassResult `json:"classes"`
}

func newResult(config Config) *Result {
	r := &Result{started: time.Now(), interval: config.Interval, Classes: make(map[string]*ClassResult)}
	for _, c := range config.Classes {
		r.Classes[c.Name] = &ClassResult{
			Codes:     make(map[string]int64),
			histogram: hdrhistogram.New(lowestLatencyMicros, highestLatencyMicros, significantDigits),
		}
	}
	return r
}

func (r *Result) update(class string, f func(c *ClassResult)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.Classes[class])
}

func (r *Result) recordArrival(class string) {
	bucket := r.bucket()
	r.update(class, func(c *ClassResult) {
		c.Offered++
		c.Arrivals = increment(c.Arrivals, bucket)
	})
}

func (r *Result) recordSuccess(class string, latency time.Duration) {
	bucket := r.bucket()
	r.update(class, func(c *ClassResult) {
		c.Succeeded++
		c.Timeline = increment(c.Timeline, bucket)
		_ = c.histogram.RecordValue(max(lowestLatencyMicros, latency.Microseconds()))
	})
}

func (r *Result) bucket() int {
	return int(time.Since(r.started) / r.interval)
}

func increment(buckets []int64, i int) []int64 {
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

func (r *Result) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.Classes {
		c.P50Ms = float64(c.histogram.ValueAtQuantile(50)) / 1000
		c.P99Ms = float64(c.histogram.ValueAtQuantile(99)) / 1000
	}
}

// QuantileMs returns a latency quantile of a class in milliseconds; quantile is
// between 0 and 100.
func (c *ClassResult) QuantileMs(quantile float64) float64 {
	return float64(c.histogram.ValueAtQuantile(quantile)) / 1000
}
