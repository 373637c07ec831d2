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
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

const (
	// upstreamDialTimeout bounds the opening of a connection on this machine.
	upstreamDialTimeout = 500 * time.Millisecond
	// upstreamIdleTimeout is how long an unused connection to an upstream is kept
	// when the upstream names no time.
	upstreamIdleTimeout = 8 * time.Second
	// unreachableLimit is the number of dial time-outs in a row after which an
	// upstream counts as gone; a refused connection counts at once.
	unreachableLimit = 2
)

// Announcement is what an upstream says about itself.
type Announcement struct {
	ID       string
	Service  string
	Address  string
	Slots    int
	Draining bool
}

// UpstreamConfig holds what an Upstream needs.
type UpstreamConfig struct {
	Protocol Protocol
	InFlight *InFlightCalls
	// DrainGracePeriod is how long calls are still taken for an upstream that drains,
	// so that callers have time to learn of it.
	DrainGracePeriod time.Duration
	Values           func(service string) settings.Values
	// OnUnreachable is called when the upstream cannot be reached any more.
	OnUnreachable func(id string)
	Log           zerolog.Logger
	Scope         tally.Scope
}

// Upstream carries calls to the instance beside this node. It is safe for
// concurrent use.
type Upstream struct {
	config   UpstreamConfig
	refusals tally.Counter
	runs     tally.Counter

	mu         sync.Mutex
	current    *instance
	drainLimit time.Duration
}

// instance is one incarnation of the upstream.
type instance struct {
	Announcement
	pool      *h1.Pool
	admission *admission.Controller
	drained   time.Time
	heard     time.Time
	timeouts  int
	lost      bool
}

// NewUpstream returns an upstream that has not announced itself.
func NewUpstream(config UpstreamConfig) *Upstream {
	return &Upstream{
		config:     config,
		drainLimit: config.DrainGracePeriod,
		refusals:   config.Scope.Counter("upstream_refusals"),
		runs:       config.Scope.Counter("upstream_runs"),
	}
}

// Announce takes in what the upstream says about itself.
func (u *Upstream) Announce(now time.Time, a Announcement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.current
	if c == nil || c.ID != a.ID || c.Address != a.Address || c.Service != a.Service {
		if c != nil {
			c.pool.Close()
		}
		c = &instance{Announcement: a, admission: admission.New(u.admissionConfig(a))}
		c.pool = h1.NewPool(h1.PoolConfig{
			Address: a.Address, DialTimeout: upstreamDialTimeout, IdleTimeout: upstreamIdleTimeout,
			MaxIdle: a.Slots, MaxResponseBytes: maxResponseBytes, Harden: true, SameResponse: u.config.Protocol.SameCall,
		})
		u.current = c
	}
	if c.Slots != a.Slots {
		c.admission.Configure(u.admissionConfig(a))
	}
	if a.Draining && c.drained.IsZero() {
		c.drained = now
	}
	if !a.Draining {
		c.drained = time.Time{}
	}
	c.Announcement = a
	c.heard = now
	c.lost = false
	c.timeouts = 0
}

// Adopt takes in an announcement of an earlier time unless the upstream has
// announced itself since. It reports whether it was taken.
func (u *Upstream) Adopt(now time.Time, a Announcement) bool {
	if _, known := u.Current(); known {
		return false
	}
	u.Announce(now, a)
	return true
}

// Withdraw puts in force that an instance leaves. It does nothing for another one.
func (u *Upstream) Withdraw(now time.Time, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.current; c != nil && c.ID == id && c.drained.IsZero() {
		c.Draining = true
		c.drained = now
	}
}

func (u *Upstream) admissionConfig(a Announcement) admission.Config {
	v := u.config.Values(a.Service)
	return admission.Config{Slots: a.Slots, QueuePerSlot: v.QueuePerSlot, QueueTimeout: v.QueueTimeout, LongShare: v.LongShare}
}

// Reconfigure applies the settings in force.
func (u *Upstream) Reconfigure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != nil {
		u.current.admission.Configure(u.admissionConfig(u.current.Announcement))
	}
}

// Current returns what the upstream last said, and false before it said anything.
func (u *Upstream) Current() (Announcement, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current == nil {
		return Announcement{}, false
	}
	return u.current.Announcement, true
}

// take returns the instance a call may be passed to.
func (u *Upstream) take(now time.Time, id string) (*instance, *resultcode.Error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.current
	switch {
	case c == nil:
		return nil, resultcode.New(resultcode.NoInstance, "no upstream has announced itself here")
	case c.ID != id:
		return nil, resultcode.New(resultcode.NoInstance, "instance %q is not here, %q is", id, c.ID)
	case c.lost:
		return nil, resultcode.New(resultcode.UpstreamUnreachable, "instance %q does not take connections", id)
	case !c.drained.IsZero() && elapsed(c.drained, now) >= u.drainLimit:
		return nil, resultcode.New(resultcode.Draining, "instance %q drains since %s", id, elapsed(c.drained, now))
	}
	return c, nil
}

// elapsed is the longer of the times that the steady clock and the time of day
// show: the steady clock stands still while the machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// SetDrainGracePeriod replaces the time during which an upstream that drains still gets
// calls.
func (u *Upstream) SetDrainGracePeriod(limit time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drainLimit = limit
}

// Serve passes a call of another node to the upstream.
func (u *Upstream) Serve(ctx context.Context, r *h1.Request) *h1.Response {
	p, err := decodeHop(r.Header)
	if err != nil {
		return u.refuse(hop{}, nil, resultcode.Wrap(err, resultcode.MalformedHeader, "call from %s", r.RemoteIP))
	}
	deadline := r.Arrived.Add(p.Timeout)
	c, failure := u.take(time.Now(), p.Instance)
	if failure != nil {
		return u.refuse(p, nil, failure)
	}
	slot, err := c.admission.Acquire(ctx, admission.Request{
		Kind: p.Kind, Priority: p.Priority, Rank: p.Rank, Depth: p.Depth, Deadline: deadline,
	})
	if err != nil {
		return u.refuse(p, c, resultcode.From(err))
	}
	// The upstream may have begun to leave while the call waited.
	if _, failure := u.take(time.Now(), p.Instance); failure != nil {
		slot.Release(resultcode.NotRun)
		return u.refuse(p, c, failure)
	}
	active := &run{hop: p, deadline: deadline, slot: slot}
	u.config.InFlight.add(active)
	response, v := u.send(ctx, c, p, r, deadline)
	u.config.InFlight.remove(active)
	v.RefusedBelow = active.refusedBelow.Load()
	if active.shedBelow.Load() && v.Code == resultcode.OK && response.Status >= http.StatusInternalServerError {
		// The upstream failed the call, so it teaches no service time.
		v.ShedBelow = true
		slot.Release(resultcode.Unknown)
	} else {
		slot.Release(v.Execution)
	}
	return u.report(c, response, v)
}

// send carries out the exchange with the upstream.
func (u *Upstream) send(ctx context.Context, c *instance, p hop, r *h1.Request, deadline time.Time) (*h1.Response, verdict) {
	remaining := time.Until(deadline)
	if remaining < time.Millisecond {
		return nil, verdict{Code: resultcode.DeadlineInsufficient, Execution: resultcode.NotRun, Detail: "no time is left after the queue"}
	}
	u.config.Protocol.EncodeCall(r.Header, UpstreamInfo{Timeout: remaining, Instance: p.Instance, Caller: p.Caller})
	r.Once = !p.Idempotent
	response, err := c.pool.Do(ctx, r, deadline)
	if err != nil {
		return nil, u.failed(c, err)
	}
	u.runs.Inc(1)
	said := u.config.Protocol.DecodeOutcome(response)
	v := verdict{Code: resultcode.OK, Execution: resultcode.Run, Reached: true}
	switch {
	case said.OtherInstance:
		u.lose(c, "another instance has the address")
		v = verdict{Code: resultcode.NoInstance, Execution: resultcode.NotRun, Reached: true}
	case said.NotRun:
		v = verdict{Code: resultcode.UpstreamRefused, Execution: resultcode.NotRun, Reached: true}
	case !said.Stamped && response.Status < http.StatusMultipleChoices:
		v = verdict{Code: resultcode.AnswerMismatch, Execution: resultcode.Unknown, Reached: true, Detail: "the response lacks the upstream's mark"}
	}
	return response, v
}

// failed interprets an exchange without a response.
func (u *Upstream) failed(c *instance, err error) verdict {
	var failure *h1.SendError
	if !errors.As(err, &failure) {
		return verdict{Code: resultcode.Internal, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
	}
	if !failure.Sent {
		u.unreachable(c, failure)
		return verdict{Code: resultcode.UpstreamUnreachable, Execution: resultcode.NotRun, Detail: err.Error()}
	}
	code := resultcode.ConnectionLost
	if failure.Expired() {
		code = resultcode.DeadlineExceeded
	}
	return verdict{Code: code, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
}

// unreachable notes a connection that could not be opened.
func (u *Upstream) unreachable(c *instance, failure *h1.SendError) {
	if errors.Is(failure.Cause, context.Canceled) {
		return
	}
	if errors.Is(failure.Cause, syscall.ECONNREFUSED) {
		u.lose(c, failure.Error())
		return
	}
	u.mu.Lock()
	c.timeouts++
	lost := c.timeouts >= unreachableLimit
	u.mu.Unlock()
	if lost {
		u.lose(c, failure.Error())
	}
}

// ExpireAnnouncement stops calls to an upstream that has not announced itself for long.
func (u *Upstream) ExpireAnnouncement(now time.Time, limit time.Duration) {
	u.mu.Lock()
	c := u.current
	silent := c != nil && !c.lost && now.Sub(c.heard) > limit
	u.mu.Unlock()
	if silent {
		u.lose(c, "no announcement for "+limit.String())
	}
}

// lose stops calls to an instance until it announces itself again.
func (u *Upstream) lose(c *instance, reason string) {
	u.mu.Lock()
	known := c.lost || u.current != c
	c.lost = true
	u.mu.Unlock()
	if known {
		return
	}
	u.config.Log.Warn().Str("instance", c.ID).Str("reason", reason).Msg("upstream lost")
	u.config.OnUnreachable(c.ID)
}

// refuse reports a call that was not passed on.
func (u *Upstream) refuse(p hop, c *instance, failure *resultcode.Error) *h1.Response {
	u.refusals.Inc(1)
	u.config.Log.Info().Str("id", p.ID).Str("kind", p.Kind).Str("instance", p.Instance).
		Int("code", int(failure.Code)).Str("detail", failure.Detail).Object("load", loadOf(c)).Msg("call refused beside the upstream")
	return u.report(c, nil, verdict{Code: failure.Code, Execution: resultcode.NotRun})
}

// loadField is the load of an instance as a log field.
type loadField struct {
	admission.Load
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (f loadField) MarshalZerologObject(e *zerolog.Event) {
	e.Int("running", f.Running).Int("queued", f.Queued).Int("slots", f.Slots).
		Str("level", f.Level.Priority.String()).Uint32("level_rank", f.Level.Rank)
}

func loadOf(c *instance) loadField {
	if c == nil {
		return loadField{}
	}
	return loadField{c.admission.Load()}
}

// report puts the verdict on the upstream's response or on one of this node.
func (u *Upstream) report(c *instance, response *h1.Response, v verdict) *h1.Response {
	if response == nil {
		response = &h1.Response{Status: resultcode.Lookup(v.Code).HTTPStatus, Header: http.Header{}}
	} else {
		call.StripReserved(response.Header)
	}
	if c != nil {
		load := c.admission.Load()
		v.Load = &load
	}
	v.encode(response.Header)
	return response
}
