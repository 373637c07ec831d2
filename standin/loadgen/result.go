package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	lowestLatencyMicros  = 1
	highestLatencyMicros = 120_000_000
	significantDigits    = 3
)

// ClassResult summarises one class.
type ClassResult struct {
	// Offered counts the requests that arrived. Each of them succeeded, failed in all its
	// attempts, or was dropped because too many requests were unfinished.
	Offered   int64 `json:"offered"`
	Succeeded int64 `json:"succeeded"`
	Failed    int64 `json:"failed"`
	Dropped   int64 `json:"dropped"`
	// Attempts counts the attempts at all requests.
	Attempts int64 `json:"attempts"`
	// Mismatched counts responses that belong to another request or to another body.
	Mismatched int64 `json:"mismatched"`
	// Codes counts the other failed attempts by result code and status, by "transport"
	// for those without a response, and by "truncated" for responses that cannot be read
	// or decoded.
	Codes map[string]int64 `json:"codes"`
	// Timeline counts successful requests by the interval in which they finished;
	// Arrivals counts requests by the interval in which they arrived.
	Timeline []int64 `json:"timeline"`
	Arrivals []int64 `json:"arrivals"`
	// P50Ms and P99Ms are quantiles of the latency of successful requests with all their
	// attempts.
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`

	// histogram holds the latencies of successful requests in microseconds.
	histogram *hdrhistogram.Histogram
}

// Result summarises a run of the load generator.
type Result struct {
	mu       sync.Mutex
	started  time.Time
	interval time.Duration
	// Classes is indexed by the name of the class.
	Classes map[string]*ClassResult `json:"classes"`
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

// update calls f with the result of a class while it holds the lock.
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

// bucket returns the index of the current interval in the timelines.
func (r *Result) bucket() int {
	return int(time.Since(r.started) / r.interval)
}

// increment adds 1 to bucket i, extending the slice as needed.
func increment(buckets []int64, i int) []int64 {
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

// finish computes the quantiles once all requests have finished.
func (r *Result) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.Classes {
		c.P50Ms = float64(c.histogram.ValueAtQuantile(50)) / 1000
		c.P99Ms = float64(c.histogram.ValueAtQuantile(99)) / 1000
	}
}

// QuantileMs returns a quantile of the latency of successful requests in milliseconds;
// quantile is in percent, between 0 and 100.
func (c *ClassResult) QuantileMs(quantile float64) float64 {
	return float64(c.histogram.ValueAtQuantile(quantile)) / 1000
}
