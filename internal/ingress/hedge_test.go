package ingress_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"
)

// Guards against a call that waits for a stuck instance although a hedge to another
// instance has returned a response, and against a slower attempt that is not
// cancelled or a non-idempotent call that is hedged.
func TestHedge(t *testing.T) {
	var stuck, released atomic.Int32
	f := newFleet(t, func(f *fleet) {
		f.values.Timeout = time.Hour
		f.hedge = func(string) (time.Duration, bool) { return time.Millisecond, true }
	})
	callerNode := f.add("", "", nil)
	f.add("search", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			sleepPastHedgeDelay()
			return
		}
		stuck.Add(1)
		<-r.Context().Done()
		released.Add(1)
	}), nil)
	f.add("search", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			sleepPastHedgeDelay()
		}
		_, _ = io.WriteString(w, "quick")
	}), nil)
	caller := newCaller(t)
	for range 20 {
		response, err := caller.Do(newRequest(t, http.MethodGet, callerNode.callerAddress, "search", ""))
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "quick")
	}
	assert.Assert(t, stuck.Load() > 0)
	for released.Load() < stuck.Load() {
		time.Sleep(time.Millisecond)
	}
	hedges := f.count("router_hedges")
	assert.Assert(t, hedges >= int64(stuck.Load()))
	_, err := caller.Do(newRequest(t, http.MethodPost, callerNode.callerAddress, "search", ""))
	assert.NilError(t, err)
	assert.Equal(t, f.count("router_hedges"), hedges)
}

func sleepPastHedgeDelay() { time.Sleep(50 * time.Millisecond) }

// Guards against a hop without a span, or with a span outside of the caller's trace.
func TestSpanForEachHop(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	defer func() { _ = provider.Shutdown(context.Background()) }()
	f := newFleet(t, func(f *fleet) { f.tracer = provider.Tracer("test") })
	seen := make(chan string, 1)
	f.add("search", startUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Traceparent")
	}), nil)
	r := newRequest(t, http.MethodGet, f.nodes[0].callerAddress, "search", "")
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	r.Header.Set("Traceparent", "00-"+traceID+"-b7ad6b7169203331-01")
	_, err := newCaller(t).Do(r)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(<-seen, "00-"+traceID+"-"))
	for len(spans.GetSpans()) < 2 {
		time.Sleep(time.Millisecond)
	}
	for _, span := range spans.GetSpans() {
		assert.Equal(t, span.SpanContext.TraceID().String(), traceID)
	}
}
