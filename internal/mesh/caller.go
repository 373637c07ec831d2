package mesh

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/budget"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/routing"
)

const (
	// defaultTimeout bounds a call for which neither its caller nor its route
	// names a time.
	defaultTimeout = 30 * time.Second
	// goldenRatio spreads consecutive calls evenly over the weights of a route.
	goldenRatio = 0.6180339887498949
)

// OutboundConfig holds what a Caller needs.
type OutboundConfig struct {
	// Service is the service on this machine.
	Service string
	// InFlight holds the runs that calls of the upstream itself belong to.
	InFlight  *InFlightCalls
	Protocol  Protocol
	Routes    func() *routing.Table
	Instances *Instances
	Peers     *PeerPools
	Budget    *budget.Budget
	Log       zerolog.Logger
	Scope     tally.Scope
}

// Outbound takes the calls that begin on this machine and carries them to an
// instance of their service.
type Outbound struct {
	config  OutboundConfig
	turn    atomic.Uint64
	closing atomic.Bool
	// stopped ends when the calls in flight have to be responded to, for lack of time.
	stopped context.Context
	stop    context.CancelFunc
	calls   tally.Counter
	repeats tally.Counter
	moves   tally.Counter
	hedges  tally.Counter
	latency tally.Histogram
	results map[resultcode.Code]tally.Counter
}

// NewOutbound returns a caller.
func NewOutbound(config OutboundConfig) *Outbound {
	c := &Outbound{
		config:  config,
		calls:   config.Scope.Counter("calls"),
		repeats: config.Scope.Counter("call_repeats"),
		moves:   config.Scope.Counter("call_moves"),
		hedges:  config.Scope.Counter("call_hedges"),
		latency: config.Scope.Histogram("call_latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		results: make(map[resultcode.Code]tally.Counter),
	}
	c.stopped, c.stop = context.WithCancel(context.Background())
	for _, e := range resultcode.Entries() {
		c.results[e.Code] = config.Scope.Tagged(map[string]string{"code": strconv.Itoa(int(e.Code))}).Counter("call_results")
	}
	return c
}

// Close refuses further calls from outside. Those of the upstream's runs go on.
func (c *Outbound) Close() {
	c.closing.Store(true)
}

// Stop gives up the calls in flight. They are responded to with an unknown outcome, so
// that no connection closes without a response.
func (c *Outbound) Stop() {
	c.stop()
}

// Serve implements h1.Handler.
func (c *Outbound) Serve(ctx context.Context, r *h1.Request) *h1.Response {
	c.calls.Inc(1)
	call.StripReserved(r.Header)
	info := c.config.Protocol.DecodeCall(r.Header)
	table := c.config.Routes()
	if table == nil {
		return c.refuse(r, info, nil, 0, resultcode.New(resultcode.NoInstance, "no configuration is known yet"))
	}
	route := table.Match(r.Host, r.Target)
	if route == nil {
		return c.refuse(r, info, nil, table.Version, resultcode.New(resultcode.UnknownService, "host %q and path %q match no route of version %d", r.Host, r.Target, table.Version))
	}
	o := c.start(r, info, route, table.Version)
	if c.closing.Load() && o.parent == nil {
		return c.refuse(r, info, route, table.Version, resultcode.New(resultcode.Draining, "this node shuts down"))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.stopped, cancel)()
	response := o.run(ctx)
	c.latency.RecordDuration(time.Since(r.Arrived))
	return response
}

// cancelled returns why a call was cancelled.
func (c *Outbound) cancelled() *resultcode.Error {
	if c.stopped.Err() != nil {
		return resultcode.New(resultcode.DeadlineExceeded, "this node shuts down")
	}
	return resultcode.New(resultcode.CallerGone, "the caller left")
}

// start describes the call.
func (c *Outbound) start(r *h1.Request, info CallInfo, route *routing.Route, config uint64) *outgoing {
	timeout := defaultTimeout
	if info.Timeout > 0 {
		timeout = info.Timeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	_, point := math.Modf(float64(c.turn.Add(1)) * goldenRatio)
	o := &outgoing{
		caller: c, request: r, info: info, route: route, config: config,
		service:  route.Pick(point),
		parent:   c.config.InFlight.find(info.Parent),
		priority: route.Priority,
		rank:     uint32(xxhash.Sum64String(info.ID)),
		deadline: r.Arrived.Add(timeout),
	}
	o.inherit()
	return o
}

// refuse responds to a call that was sent to no upstream.
func (c *Outbound) refuse(r *h1.Request, info CallInfo, route *routing.Route, config uint64, failure *resultcode.Error) *h1.Response {
	c.count(failure.Code)
	kind := ""
	if route != nil {
		kind = route.Name
	}
	c.config.Log.Info().Str("id", info.ID).Str("kind", kind).Int("code", int(failure.Code)).
		Dur("age", time.Since(r.Arrived)).Uint64("config", config).Str("detail", failure.Detail).Msg("call refused")
	return c.respond(info, failure)
}

func (c *Outbound) count(code resultcode.Code) {
	if counter, ok := c.results[code]; ok {
		counter.Inc(1)
	}
}

// respond makes a response of this node's own.
func (c *Outbound) respond(info CallInfo, failure *resultcode.Error) *h1.Response {
	status := statusOf(failure)
	header := http.Header{}
	c.config.Protocol.SetID(header, info.ID)
	header[call.HeaderCode] = []string{strconv.Itoa(int(failure.Code))}
	header[call.HeaderRun] = []string{failure.Execution.String()}
	if status == http.StatusServiceUnavailable {
		header["Retry-After"] = []string{retryAfter()}
	}
	return &h1.Response{Status: status, Header: header, Body: []byte(failure.Detail + "\n")}
}

// statusOf keeps the statuses that promise "not run" for calls that were not run.
func statusOf(failure *resultcode.Error) int {
	if failure.Execution == resultcode.NotRun {
		if failure.Code == resultcode.UnknownService || failure.Code == resultcode.MalformedHeader {
			return resultcode.Lookup(failure.Code).HTTPStatus
		}
		return http.StatusServiceUnavailable
	}
	if failure.Code == resultcode.DeadlineExceeded {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
