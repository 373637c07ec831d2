package ingress_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// BenchmarkCall reports the latency of a GET to the upstream directly and through
// two nodes in this process.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b, nil)
	address := startUpstream(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1000)) })
	callerNode := f.add("", "", nil)
	f.add("search", address, nil)
	for name, target := range map[string]string{"direct": address, "nodes": callerNode.callerAddress} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			caller := newCaller(b)
			h := hdrhistogram.New(1, int64(time.Second), 3)
			for range b.N {
				started := time.Now()
				response, err := caller.Do(newRequest(b, http.MethodGet, target, "search", ""))
				assert.NilError(b, err)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				_ = h.RecordValue(int64(time.Since(started)))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
		})
	}
}
