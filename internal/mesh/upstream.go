package mesh

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/responsecheck"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/routing"
	"github.com/mustardwing/mustardwing/internal/settings"
)

const (
	// upstreamDialTimeout bounds the opening of a connection to the local
	// upstream.
	upstreamDialTimeout = 500 * time.Millisecond
	// upstreamIdleTimeout is how long an unused connection to an upstream is
	// kept when the upstream sets no timeout of its own.
	upstreamIdleTimeout = 8 * time.Second
	// maxFailedDials is the number of failed dials since the latest announcement after which
	// an upstream counts as unreachable. These dials normally timed out; a refused connection
	// makes the upstream count as unreachable immediately.
	maxFailedDials = 2
)

// Announcement is what an upstream sends to its own node about itself.
type Announcement struct {
	// ID is the id of the instance. A restarted upstream has a new one.
	ID string
	// Incarnation is when the upstream started, in Unix milliseconds, zero if it is not known.
	// A restarted upstream may keep its id.
	Incarnation int64
	Service     string
	// Address is where the upstream accepts calls.
	Address string
	// Slots is the number of calls that the upstream runs at a time.
	Slots    int
	Draining bool
}

// sameInstance reports whether two announcements are of one incarnation of an upstream at one
// address.
func (a Announcement) sameInstance(b Announcement) bool {
	known := a.Incarnation != 0 && b.Incarnation != 0
	return a.ID == b.ID && a.Address == b.Address && a.Service == b.Service && (!known || a.Incarnation == b.Incarnation)
}

// UpstreamConfig is the configuration of an Upstream.
type UpstreamConfig struct {
	Protocol Protocol
	// Routes returns the configuration in force, nil before the first one.
	Routes func() *routing.Table
	// InFlight is the table to which Upstream adds the calls that the upstream is running.
	InFlight *InFlightCalls
	// DrainGracePeriod is how long calls are still accepted for a draining
	// upstream, so that callers have time to learn that it drains.
	DrainGracePeriod time.Duration
	// Values returns the settings in force for a service, or for a kind of its calls unless
	// kind is empty.
	Values func(service, kind string) settings.Values
	// MaxBufferedBytes bounds the total size of the large response bodies that are being read
	// from the upstream; see h1.PoolConfig.
	MaxBufferedBytes int64
	// OnUnreachable is called, without a lock held, with the id of the instance when
	// the upstream becomes unreachable.
	OnUnreachable func(id string)
	// OnLeaving is called, without a lock held, with the id of the instance when the upstream
	// first states that it leaves.
	OnLeaving func(id string)
	Log       zerolog.Logger
	Scope     tally.Scope
}

// Upstream passes calls to the local upstream. It is safe for concurrent use.
type Upstream struct {
	config UpstreamConfig
	// shutdown decides which calls are accepted while the node shuts down.
	shutdown *shutdown
	// refusals counts the calls that this node refused, responses those to which the
	// upstream responded, also with a rejection.
	refusals  tally.Counter
	responses tally.Counter
	capacity  *capacityReport
	unusable  responsecheck.Reporter

	mu sync.Mutex
	// current is the instance of the latest announcement, nil before the first one.
	current          *instance
	drainGracePeriod time.Duration
}

// instance is one announced instance of the upstream.
type instance struct {
	Announcement
	pool      *h1.Pool
	admission *admission.Controller
	rateLimit *rateLimit
	// drainStart is when the instance began to drain, zero while it does not.
	drainStart time.Time
	// leaving is set once a response has stated that the instance leaves. It then drains
	// whatever it announces.
	leaving       bool
	lastAnnounced time.Time
	// failedDials counts the failed dials since the latest announcement, except refused
	// connections and cancelled calls.
	failedDials int
	// unreachable is set by markUnreachable and cleared by an announcement.
	unreachable bool
}

// NewUpstream returns an Upstream that has received no announcement.
func NewUpstream(config UpstreamConfig) *Upstream {
	return &Upstream{
		config:           config,
		shutdown:         newShutdown(),
		drainGracePeriod: config.DrainGracePeriod,
		refusals:         config.Scope.Counter("upstream_refusals"),
		responses:        config.Scope.Counter("upstream_runs"),
		capacity:         newCapacityReport(config.Scope, config.Log),
		unusable:         responsecheck.Reporter{Log: config.Log, Scope: config.Scope},
	}
}

// Announce applies an announcement of the upstream and returns it as it is in force: an
// instance that has stated in a response that it leaves drains. Another incarnation, id,
// address or service replaces the current instance.
func (u *Upstream) Announce(now time.Time, a Announcement) Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.current
	if c == nil || !c.sameInstance(a) {
		if c != nil {
			c.pool.Close()
		}
		c = &instance{Announcement: a, admission: admission.New(u.admissionConfig(a))}
		c.rateLimit = newRateLimit(now, c.admission.SetRateLimit)
		c.pool = h1.NewPool(h1.PoolConfig{
			Address: a.Address, DialTimeout: upstreamDialTimeout, IdleTimeout: upstreamIdleTimeout,
			MaxIdle: a.Slots, MaxExchanges: a.Slots, MaxResponseBytes: maxResponseBytes, MaxBufferedBytes: u.config.MaxBufferedBytes, DetectDeadPeer: true, ResponseMatches: u.config.Protocol.SameCall,
			CheckResponse:    u.config.Protocol.CheckResponse,
			OnResponseHeader: func(_ *h1.Request, response *h1.Response) { u.observeNotice(c, response) },
		})
		u.current = c
	}
	a.Draining = a.Draining || c.leaving
	if a.Incarnation == 0 {
		a.Incarnation = c.Incarnation
	}
	if c.Slots != a.Slots {
		c.admission.Configure(u.admissionConfig(a))
	}
	if a.Draining && c.drainStart.IsZero() {
		c.drainStart = now
	}
	if !a.Draining {
		c.drainStart = time.Time{}
	}
	c.Announcement = a
	c.lastAnnounced = now
	c.unreachable = false
	c.failedDials = 0
	return a
}

// Adopt applies an announcement from before a restart of the node unless one has been
// applied since the restart. It reports whether the announcement was applied.
func (u *Upstream) Adopt(now time.Time, a Announcement) bool {
	if _, announced := u.Current(); announced {
		return false
	}
	u.Announce(now, a)
	return true
}

// Withdraw marks an instance as draining from now on. It does nothing when the
// instance drains already or is not the current one.
func (u *Upstream) Withdraw(now time.Time, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.current; c != nil && c.ID == id && c.drainStart.IsZero() {
		c.Draining = true
		c.drainStart = now
	}
}

func (u *Upstream) admissionConfig(a Announcement) admission.Config {
	v := u.config.Values(a.Service, "")
	return admission.Config{
		Slots: a.Slots, QueuePerSlot: v.QueuePerSlot, QueueTimeout: v.QueueTimeout, LongShare: v.LongFraction, LearnCapacity: v.LearnedCapacity,
		KindQueueTimeout: func(kind string) time.Duration { return u.config.Values(a.Service, kind).QueueTimeout },
	}
}

// Reconfigure applies the settings in force.
func (u *Upstream) Reconfigure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != nil {
		u.current.admission.Configure(u.admissionConfig(u.current.Announcement))
	}
}

// Current returns the latest announcement of the upstream, and false before the
// first one.
func (u *Upstream) Current() (Announcement, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current == nil {
		return Announcement{}, false
	}
	return u.current.Announcement, true
}

// acceptingInstance returns the instance with an id, or an error when no calls are
// accepted for it: it is not the current one, is unreachable, or has been draining for
// the grace period.
func (u *Upstream) acceptingInstance(now time.Time, id string) (*instance, *resultcode.Error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.current
	switch {
	case c == nil:
		return nil, resultcode.New(resultcode.NoInstance, "no upstream has announced itself to this node")
	case c.ID != id:
		return nil, resultcode.New(resultcode.NoInstance, "instance %q is not on this node, the current one is %q", id, c.ID)
	case c.unreachable:
		return nil, resultcode.New(resultcode.UpstreamUnreachable, "instance %q is unreachable", id)
	case !c.drainStart.IsZero() && elapsed(c.drainStart, now) >= u.drainGracePeriod:
		return nil, resultcode.New(resultcode.Draining, "instance %q has been draining for %s", id, elapsed(c.drainStart, now))
	}
	return c, nil
}

// elapsed returns the longer of the durations that the monotonic clock and the
// wall clock show: the monotonic clock stops while the machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// SetDrainGracePeriod replaces UpstreamConfig.DrainGracePeriod.
func (u *Upstream) SetDrainGracePeriod(period time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainGracePeriod = period
}

// EndAt announces when the node ends. Calls that will probably not have ended by then are refused
// with the code Draining.
func (u *Upstream) EndAt(end time.Time) {
	u.shutdown.begin(end)
}

// Serve passes a call of a peer node to the upstream, or refuses it.
func (u *Upstream) Serve(ctx context.Context, r *h1.Request) *h1.Response {
	p, err := decodeHop(r.Header)
	if err != nil {
		return u.refuse(hop{}, nil, resultcode.Wrap(err, resultcode.MalformedHeader, "call from %s", r.RemoteIP))
	}
	deadline := r.Arrived.Add(p.Timeout)
	c, failure := u.acceptingInstance(time.Now(), p.Instance)
	if failure != nil {
		return u.refuse(p, nil, failure)
	}
	if failure := u.shutdown.check(time.Now(), p.Kind, deadline, 0); failure != nil {
		return u.refuse(p, c, failure)
	}
	if failure := u.checkCredential(p); failure != nil {
		return u.refuse(p, c, failure)
	}
	if change, changed := c.rateLimit.adopt(time.Now(), p.RateLimit); changed {
		u.logRateLimit(c, change, p.RateLimit)
	}
	slot, err := c.admission.Acquire(ctx, admission.Request{
		Kind: p.Kind, Priority: p.Priority, Rank: p.Rank, Depth: p.Depth, Deadline: deadline,
	})
	if err != nil {
		return u.refuse(p, c, resultcode.From(err))
	}
	// While the call was queued, the instance may have been replaced, become unreachable
	// or reached the end of its drain grace period, the node may have begun to shut down, and the
	// caller's credential may have been withdrawn.
	_, failure = u.acceptingInstance(time.Now(), p.Instance)
	if failure == nil {
		failure = u.shutdown.check(time.Now(), p.Kind, deadline, 0)
	}
	if failure == nil {
		failure = u.checkCredential(p)
	}
	if failure != nil {
		slot.Release(resultcode.NotRun)
		return u.refuse(p, c, failure)
	}
	active := &inFlightCall{hop: p, deadline: deadline, slot: slot}
	u.config.InFlight.add(active)
	started := time.Now()
	response, v := u.send(ctx, c, p, r, deadline)
	if v.Execution != resultcode.NotRun {
		u.shutdown.observe(p.Kind, time.Since(started))
	}
	u.config.InFlight.remove(active)
	if response != nil && response.Status >= http.StatusInternalServerError {
		slot.Failed()
	}
	v.NestedRefused = active.nestedRefused.Load()
	v.Nested = active.nestedCalls.Load() > 0
	if v.Code == resultcode.OK && response.Status < http.StatusInternalServerError {
		u.config.InFlight.recordRun(active)
	}
	if active.nestedShed.Load() && v.Code == resultcode.OK && response.Status >= http.StatusInternalServerError {
		// A failure by the upstream after a nested call was shed is attributed to the
		// shedding, so the duration is no sample of the service time.
		v.NestedShed = true
		slot.Release(resultcode.Unknown)
	} else {
		slot.Release(v.Execution)
	}
	reported := u.report(c, response, v)
	reported.Expires = deadline
	return reported
}

// Refuse implements h1.Refuser for a call of a peer node whose body does not fit into the memory for
// bodies.
func (u *Upstream) Refuse(r *h1.Request) *h1.Response {
	p, err := decodeHop(r.Header)
	if err != nil {
		return u.refuse(hop{}, nil, resultcode.Wrap(err, resultcode.MalformedHeader, "call from %s", r.RemoteIP))
	}
	return u.refuse(p, nil, resultcode.New(resultcode.Overloaded, "the bodies of other calls fill the memory of this node"))
}

// send performs the exchange with the upstream. The response is nil when there was
// none.
func (u *Upstream) send(ctx context.Context, c *instance, p hop, r *h1.Request, deadline time.Time) (*h1.Response, outcome) {
	remaining := time.Until(deadline)
	if remaining < time.Millisecond {
		return nil, outcome{Code: resultcode.DeadlineInsufficient, Execution: resultcode.NotRun, Detail: "no time is left before the deadline after queueing"}
	}
	info := UpstreamInfo{Timeout: remaining, Instance: p.Instance, Caller: p.Caller}
	if p.Fingerprint != "" {
		info.Organisation = p.Organisation
	}
	u.config.Protocol.EncodeCall(r.Header, info)
	r.ID, r.NonIdempotent = p.ID, !p.Idempotent
	c.rateLimit.countCall(p.Retry)
	response, err := c.pool.Do(ctx, r, deadline)
	if err != nil {
		u.unusable.Report(err, p.ID, c.ID)
		return nil, u.exchangeOutcome(c, err)
	}
	u.responses.Inc(1)
	stated := u.config.Protocol.DecodeOutcome(response)
	v := outcome{Code: resultcode.OK, Execution: resultcode.Run, Reached: true}
	switch {
	case stated.OtherInstance:
		u.markUnreachable(c, "another instance now has the address")
		v = outcome{Code: resultcode.NoInstance, Execution: resultcode.NotRun, Reached: true}
	case stated.NotRun:
		v = outcome{Code: resultcode.UpstreamRefused, Execution: resultcode.NotRun, Reached: true}
	case !stated.Stamped && response.Status < http.StatusMultipleChoices:
		v = outcome{Code: resultcode.AnswerMismatch, Execution: resultcode.Unknown, Reached: true, Detail: "the response lacks the upstream's stamp"}
	}
	return response, v
}

// noteLeaving drains an instance that has stated that it leaves, and reports this once.
func (u *Upstream) noteLeaving(now time.Time, c *instance) {
	u.mu.Lock()
	first := !c.leaving
	c.leaving = true
	if c.drainStart.IsZero() {
		c.Draining = true
		c.drainStart = now
	}
	report := first && u.current == c
	u.mu.Unlock()
	if !report {
		return
	}
	u.config.Log.Info().Str("instance", c.ID).Msg("upstream states that it leaves")
	u.config.OnLeaving(c.ID)
}

// isLeaving reports whether an instance has stated that it leaves.
func (u *Upstream) isLeaving(c *instance) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return c.leaving
}

// observeNotice applies what the upstream states about itself in the header of a response,
// unless another instance, which has the address by now, sent it.
func (u *Upstream) observeNotice(c *instance, response *h1.Response) {
	if u.config.Protocol.DecodeOutcome(response).OtherInstance {
		return
	}
	notice := u.config.Protocol.DecodeNotice(response.Header)
	if change, changed := c.rateLimit.observe(time.Now(), notice, response.Status >= http.StatusBadRequest); changed {
		u.logRateLimit(c, change, notice.RateLimit)
	}
	if notice.Leaving {
		u.noteLeaving(time.Now(), c)
	}
}

// logRateLimit logs that a rate limit of the upstream begins, or ends if perSecond is nil.
func (u *Upstream) logRateLimit(c *instance, change rateLimitChange, perSecond *float64) {
	log := u.config.Log.Info().Str("instance", c.ID).Bool("limited", change.began)
	if perSecond != nil {
		log = log.Float64("per_second", *perSecond)
	}
	log.Dur("after", change.duration).Int64("calls", change.calls).Int64("retries", change.retries).Msg("upstream changed its rate limit")
}

// exchangeOutcome returns the outcome of an exchange that got no response.
func (u *Upstream) exchangeOutcome(c *instance, err error) outcome {
	var failure *h1.SendError
	if !errors.As(err, &failure) {
		return outcome{Code: resultcode.Internal, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
	}
	if !failure.Sent {
		u.noteDialFailure(c, failure)
		return outcome{Code: resultcode.UpstreamUnreachable, Execution: resultcode.NotRun, Detail: err.Error()}
	}
	code := resultcode.ConnectionLost
	switch {
	case errors.As(err, &responsecheck.Error{}):
		code = resultcode.AnswerMismatch
	case failure.DeadlineExceeded():
		code = resultcode.DeadlineExceeded
	}
	return outcome{Code: code, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
}

// noteDialFailure records that no connection to the upstream could be opened. A
// cancelled call says nothing about the upstream and is not counted.
func (u *Upstream) noteDialFailure(c *instance, failure *h1.SendError) {
	if errors.Is(failure.Cause, context.Canceled) {
		return
	}
	if errors.Is(failure.Cause, syscall.ECONNREFUSED) {
		u.markUnreachable(c, failure.Error())
		return
	}
	u.mu.Lock()
	c.failedDials++
	unreachable := c.failedDials >= maxFailedDials
	u.mu.Unlock()
	if unreachable {
		u.markUnreachable(c, failure.Error())
	}
}

// ExpireAnnouncement marks the upstream as unreachable when its latest announcement is
// older than limit.
func (u *Upstream) ExpireAnnouncement(now time.Time, limit time.Duration) {
	u.mu.Lock()
	c := u.current
	expired := c != nil && !c.unreachable && now.Sub(c.lastAnnounced) > limit
	u.mu.Unlock()
	if expired {
		u.markUnreachable(c, "no announcement for "+limit.String())
	}
}

// markUnreachable stops calls to an instance until it announces itself again. It logs
// and reports this once, and only for the current instance.
func (u *Upstream) markUnreachable(c *instance, reason string) {
	u.mu.Lock()
	skipReport := c.unreachable || u.current != c
	c.unreachable = true
	u.mu.Unlock()
	if skipReport {
		return
	}
	u.config.Log.Warn().Str("instance", c.ID).Str("reason", reason).Msg("upstream is unreachable")
	u.config.OnUnreachable(c.ID)
}

// refuse logs and counts a call that was not passed on and returns the response to it.
// c is nil when the call was refused before an instance that accepts calls was found.
func (u *Upstream) refuse(p hop, c *instance, failure *resultcode.Error) *h1.Response {
	u.refusals.Inc(1)
	u.config.Log.Info().Str("id", p.ID).Str("kind", p.Kind).Str("instance", p.Instance).
		Int("code", int(failure.Code)).Str("detail", failure.Detail).Object("load", loadOf(c)).Msg("call refused by the upstream's node")
	return u.report(c, nil, outcome{Code: failure.Code, Execution: resultcode.NotRun})
}

// loadField is the load of an instance as a log field.
type loadField struct {
	admission.Load
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (f loadField) MarshalZerologObject(e *zerolog.Event) {
	e.Int("running", f.Running).Int("queued", f.Queued).Int("slots", f.Slots).
		Str("level", f.Level.Priority.String()).Uint32("level_rank", f.Level.Rank)
	if f.RateLimit != nil {
		e.Float64("limit", *f.RateLimit)
	}
}

func loadOf(c *instance) loadField {
	if c == nil {
		return loadField{}
	}
	return loadField{c.admission.Load()}
}

// report sets the outcome and the instance's load on the upstream's response, or on a
// response of this node when the upstream gave none.
func (u *Upstream) report(c *instance, response *h1.Response, v outcome) *h1.Response {
	if response == nil {
		response = &h1.Response{Status: resultcode.Lookup(v.Code).HTTPStatus, Header: http.Header{}}
	} else {
		call.StripReserved(response.Header)
	}
	if c != nil {
		load := c.admission.Load()
		v.Load = &load
		v.Leaving = u.isLeaving(c)
	}
	v.encode(response.Header)
	return response
}
