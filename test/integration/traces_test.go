package integration

import (
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/test/fleet"
)

// spanReceiver receives spans by OTLP over HTTP.
type spanReceiver struct {
	server *httptest.Server

	mu    sync.Mutex
	spans []*tracepb.Span
	// errs are the errors of requests that could not be read or decoded.
	errs []error
}

func newSpanReceiver(t *testing.T) *spanReceiver {
	r := &spanReceiver{}
	r.server = httptest.NewServer(http.HandlerFunc(r.receive))
	t.Cleanup(r.server.Close)
	return r
}

func (r *spanReceiver) receive(w http.ResponseWriter, req *http.Request) {
	var export collector.ExportTraceServiceRequest
	data, err := io.ReadAll(req.Body)
	if err == nil {
		err = proto.Unmarshal(data, &export)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.errs = append(r.errs, err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, resource := range export.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			r.spans = append(r.spans, scope.Spans...)
		}
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
}

// spansOf returns the spans of a trace that have arrived.
func (r *spanReceiver) spansOf(id string) []*tracepb.Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*tracepb.Span
	for _, s := range r.spans {
		if hex.EncodeToString(s.TraceId) == id {
			found = append(found, s)
		}
	}
	return found
}

// Guards against a chain whose hops report no span, or report it in another trace
// than the caller's. Each service has one span at the node that receives the call
// and one at the upstream's node.
func TestTraceContainsEveryHop(t *testing.T) {
	const (
		traceID    = "4bf92f3577b34da6a3ce929d0e0e4736"
		callerSpan = "00f067aa0ba902b7"
	)
	receiver := newSpanReceiver(t)
	service := func(name string, nestedCalls ...string) fleet.ServiceSpec {
		return fleet.ServiceSpec{Name: name, Instances: 1, Slots: 10, Connections: 100, ServiceTime: time.Millisecond, NestedCalls: nestedCalls}
	}
	f := startFleet(t, fleet.Deployment{
		Region:         "ro",
		FailureDomains: []string{"ro-a", "ro-b"},
		Services:       []fleet.ServiceSpec{service("search", "payments"), service("payments", "history"), service("history")},
		Policy:         "full",
		OTLPEndpoint:   receiver.server.URL + "/v1/traces",
	})
	r := send(request{
		target: f.CallerURLs()[0], method: http.MethodGet, service: "search", kind: "lookup", testID: "traced",
		traceparent: "00-" + traceID + "-" + callerSpan + "-01",
	})
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK, "%s", r.body)
	hops := []string{
		"mustardwing.caller", "mustardwing.peer",
		"mustardwing.loopback", "mustardwing.peer",
		"mustardwing.loopback", "mustardwing.peer",
	}
	spans := receiver.waitForSpans(traceID, len(hops))
	assert.Equal(t, len(receiver.errs), 0, "%v", receiver.errs)
	assert.DeepEqual(t, spanNames(spans, callerSpan), hops)
	assert.Equal(t, len(spans), len(hops))
}

// waitForSpans returns a trace's spans once want of them have arrived, or those that
// have arrived after 20 seconds.
func (r *spanReceiver) waitForSpans(id string, want int) []*tracepb.Span {
	deadline := time.Now().Add(20 * time.Second)
	for len(r.spansOf(id)) < want && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	return r.spansOf(id)
}

// spanNames returns the names of the spans in the order from parent to child,
// starting below the span parent.
func spanNames(spans []*tracepb.Span, parent string) []string {
	var names []string
	for range spans {
		for _, s := range spans {
			if hex.EncodeToString(s.ParentSpanId) == parent {
				names = append(names, s.Name)
				parent = hex.EncodeToString(s.SpanId)
				break
			}
		}
	}
	return names
}
