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
	// defaultTimeout applies when the caller sets no timeout. A shorter timeout of the route
	// replaces the caller's or the default one.
	defaultTimeout = 30 * time.Second
	// goldenRatioFraction is the fractional part of the golden ratio. The fractional parts
	// of its multiples spread consecutive calls evenly over the targets of a route in
	// proportion to their weights.
	goldenRatioFraction = 0.6180339887498949
)

// OutboundConfig is the configuration of an Outbound.
type OutboundConfig struct {
	// Service is the service of the local instance.
	Service string
	// InFlight holds the calls that the local upstream is running; they may be the
	// parent calls of those that the Outbound accepts.
	InFlight *InFlightCalls
	Protocol Protocol
	// Routes returns the routing table in force, nil before the first configuration.
	Routes    func() *routing.Table
	Instances *Instances
	Peers     *PeerPools
	// Budget is the retry budget of this node.
	Budget *budget.Budget
	// Quotas may be nil; then no quota applies.
	Quotas Quotas
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Outbound accepts the calls that the local instance makes and sends them to an
// instance of their service.
type Outbound struct {
	config OutboundConfig
	// sequence counts the calls. newCall derives from it which target of the route a
	// call goes to.
	sequence atomic.Uint64
	// closed is set by Close while the node shuts down.
	closed atomic.Bool
	// shutdown decides which calls are accepted while the node shuts down.
	shutdown *shutdown
	// stopped is cancelled by Stop, when the node is about to end and the in-flight
	// calls must get a response.
	stopped context.Context
	stop    context.CancelFunc
	calls   tally.Counter
	retries tally.Counter
	// denials counts the retries that the retry budget denied.
	denials tally.Counter
	moves   tally.Counter
	hedges  tally.Counter
	latency tally.Histogram
	// organisations counts the calls of each organisation, refusals logs those that the
	// organisation's callers cause.
	organisations *organisationCounters
	refusals      *refusalLog
	results       map[resultcode.Code]tally.Counter
}

// NewOutbound returns an Outbound that accepts calls.
func NewOutbound(config OutboundConfig) *Outbound {
	c := &Outbound{
		config:   config,
		shutdown: newShutdown(),
		calls:    config.Scope.Counter("calls"),
		retries:  config.Scope.Counter("call_repeats"),
		denials:  config.Scope.Counter("call_repeats_denied"),
		moves:    config.Scope.Counter("call_moves"),
		hedges:   config.Scope.Counter("call_hedges"),
		latency:  config.Scope.Histogram("call_latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		results:  make(map[resultcode.Code]tally.Counter),

		organisations: newOrganisationCounters(config.Scope),
		refusals:      newRefusalLog(config.Log),
	}
	c.stopped, c.stop = context.WithCancel(context.Background())
	for _, e := range resultcode.Entries() {
		c.results[e.Code] = config.Scope.Tagged(map[string]string{"code": strconv.Itoa(int(e.Code))}).Counter("call_results")
	}
	return c
}

// Close refuses further root requests with the code Draining. Nested calls of
// in-flight calls are still accepted.
func (c *Outbound) Close() {
	c.closed.Store(true)
}

// EndAt announces when Stop will be called. Calls that will probably not have ended by then are
// refused with the code Draining, nested calls too.
func (c *Outbound) EndAt(end time.Time) {
	c.shutdown.begin(end)
}

// Stop cancels the in-flight calls and any accepted later, so that no connection closes
// without a response. A cancelled call gets the failure response of an upstream if there
// is one, else a response with an unknown outcome.
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
		return c.refuse(r, info, nil, 0, resultcode.New(resultcode.NoInstance, "no configuration has been received yet"))
	}
	route := table.Match(r.Host, r.Target)
	if route == nil {
		return c.refuse(r, info, nil, table.Version, resultcode.New(resultcode.UnknownService, "host %q and path %q match no route of configuration version %d", r.Host, r.Target, table.Version))
	}
	o := c.newCall(r, info, route, table.Version)
	if failure := o.authorize(table); failure != nil {
		return o.refuseCall(failure)
	}
	if c.closed.Load() && o.parent == nil {
		return o.refuseCall(resultcode.New(resultcode.Draining, "this node is shutting down and accepts no more root requests"))
	}
	if failure := c.shutdown.check(time.Now(), route.Name, o.deadline, route.Objective); failure != nil {
		return o.respondFailure(failure)
	}
	if failure := o.takeQuota(); failure != nil {
		return o.refuseCall(failure)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.stopped, cancel)()
	response := o.executeNested(ctx)
	duration := time.Since(r.Arrived)
	c.latency.RecordDuration(duration)
	if o.reached > 0 {
		c.shutdown.observe(route.Name, duration)
	}
	if info.Timeout > 0 {
		response.Expires = r.Arrived.Add(info.Timeout)
	}
	return response
}

// executeNested executes a call, during which its parent call, if there is one, waits.
func (o *outboundCall) executeNested(ctx context.Context) *h1.Response {
	o.parent.beginNested()
	defer o.parent.endNested()
	return o.execute(ctx)
}

// rankOf returns the rank of a root request, a hash of its id.
func rankOf(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// Refuse implements h1.Refuser for a call whose body does not fit into the memory for bodies.
func (c *Outbound) Refuse(r *h1.Request) *h1.Response {
	c.calls.Inc(1)
	call.StripReserved(r.Header)
	info := c.config.Protocol.DecodeCall(r.Header)
	failure := resultcode.New(resultcode.Overloaded, "the bodies of other requests fill the memory of this node")
	table := c.config.Routes()
	if table == nil {
		return c.refuse(r, info, nil, 0, failure)
	}
	route := table.Match(r.Host, r.Target)
	if route == nil {
		return c.refuse(r, info, nil, table.Version, failure)
	}
	o := c.newCall(r, info, route, table.Version)
	if unauthorized := o.authorize(table); unauthorized != nil {
		failure = unauthorized
	}
	return o.refuseCall(failure)
}

// cancelCause returns why a call was cancelled.
func (c *Outbound) cancelCause() *resultcode.Error {
	if c.stopped.Err() != nil {
		return resultcode.New(resultcode.DeadlineExceeded, "this node shut down before the call finished")
	}
	return resultcode.New(resultcode.CallerGone, "the caller disconnected")
}

// newCall chooses the service of a call, sets its deadline and copies from the parent
// call, if there is one, what a nested call inherits.
func (c *Outbound) newCall(r *h1.Request, info CallInfo, route *routing.Route, configVersion uint64) *outboundCall {
	timeout := defaultTimeout
	if info.Timeout > 0 {
		timeout = info.Timeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	timeout = min(timeout, call.MaxTimeout)
	_, point := math.Modf(float64(c.sequence.Add(1)) * goldenRatioFraction)
	o := &outboundCall{
		outbound: c, request: r, info: info, route: route, configVersion: configVersion,
		service:  route.Pick(point),
		parent:   c.config.InFlight.find(info.Parent),
		priority: route.Priority,
		rank:     rankOf(info.ID),
		deadline: r.Arrived.Add(timeout), remaining: 1,
	}
	o.inherit()
	return o
}

// refuse logs and counts a call that was not run and returns the response to it. The
// route is nil and configVersion zero when they are not known.
func (c *Outbound) refuse(r *h1.Request, info CallInfo, route *routing.Route, configVersion uint64, failure *resultcode.Error) *h1.Response {
	c.countResult(failure.Code)
	kind := ""
	if route != nil {
		kind = route.Name
	}
	c.config.Log.Info().Str("id", info.ID).Str("kind", kind).Int("code", int(failure.Code)).
		Dur("age", time.Since(r.Arrived)).Uint64("config", configVersion).Str("detail", failure.Detail).Msg("call refused")
	return c.failureResponse(info, failure)
}

func (c *Outbound) countResult(code resultcode.Code) {
	if counter, ok := c.results[code]; ok {
		counter.Inc(1)
	}
}

// failureResponse returns this node's own response to a failed call.
func (c *Outbound) failureResponse(info CallInfo, failure *resultcode.Error) *h1.Response {
	status := statusOf(failure)
	header := http.Header{}
	c.config.Protocol.SetID(header, info.ID)
	header[call.HeaderCode] = []string{strconv.Itoa(int(failure.Code))}
	header[call.HeaderRun] = []string{failure.Execution.String()}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header["Retry-After"] = []string{retryAfter(failure.RetryAfter)}
	}
	return &h1.Response{Status: status, Header: header, Body: []byte(failure.Detail + "\n")}
}

// statusOf returns the HTTP status of a failure. Statuses that promise "not
// run" are used only for calls that were not run.
func statusOf(failure *resultcode.Error) int {
	if failure.Execution == resultcode.NotRun {
		if status, ok := unrunStatuses[failure.Code]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	}
	if failure.Code == resultcode.DeadlineExceeded {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
