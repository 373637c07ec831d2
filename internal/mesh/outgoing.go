package mesh

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/routing"
)

const (
	// maxMoves bounds the instances that are tried without reaching an upstream.
	maxMoves = 8
	// maxArrivals bounds the upstreams that receive one call. Those that reject it
	// do not count as attempts, but as repeats.
	maxArrivals = 8
	// maxShedMoves bounds the further instances that are tried after one without
	// room: more of them would only spread the overload of the service.
	maxShedMoves = 2
	// minRepeatTime is the time that must be left for another attempt.
	minRepeatTime = 20 * time.Millisecond
	// retryAfterBase and retryAfterSpread spread the return of refused callers.
	retryAfterBase   = 400 * time.Millisecond
	retryAfterSpread = 800 * time.Millisecond
)

func retryAfter() string {
	wait := retryAfterBase + rand.N(retryAfterSpread)
	return strconv.FormatFloat(wait.Seconds(), 'f', 2, 64)
}

// outgoing is one call on its way to an instance.
type outgoing struct {
	caller  *Outbound
	request *h1.Request
	info    CallInfo
	route   *routing.Route
	// config is the version of the configuration that the route belongs to.
	config  uint64
	service string
	// parent is the run of the upstream that made this call, nil for a root.
	parent   *run
	priority call.Priority
	rank     uint32
	depth    uint8
	// repeat is set when the whole run below which this call is made is a repeat.
	repeat   bool
	deadline time.Time

	// tried lists the instances that were tried.
	tried []string
	// reached counts the upstreams that received the call, ran those that may have
	// run it, moves the instances that did not pass it on.
	reached, ran, moves int
	// unpaid is set when the retry budget denied a repetition.
	unpaid bool
	// sheds counts the instances that refused for want of capacity or time.
	sheds int
	// mayHaveRun is the first failure after which the call may have run.
	mayHaveRun *resultcode.Error
	// answered is an upstream's own failure, which is delivered when no other
	// upstream does better.
	answered *attempt
}

// attempt is the end of one try.
type attempt struct {
	choice   balancer.Choice
	response *h1.Response
	verdict  verdict
	latency  time.Duration
}

// inherit takes over what holds for the whole tree of calls below a root.
func (o *outgoing) inherit() {
	p := o.parent
	if p == nil {
		return
	}
	o.priority, o.rank, o.repeat = p.Priority, p.Rank, p.Repeat
	o.depth = p.Depth + 1
	if p.deadline.Before(o.deadline) {
		o.deadline = p.deadline
	}
}

// run tries instances until one has run the call or no further try is allowed.
func (o *outgoing) run(ctx context.Context) *h1.Response {
	if o.repeat {
		o.caller.config.Budget.Charge(time.Now(), o.service)
	} else {
		o.caller.config.Budget.RecordArrival(time.Now(), o.service)
	}
	// last is the failure of the try before, which says more than that no instance
	// is left.
	var last *resultcode.Error
	for {
		choice, b, failure := o.pick()
		if failure != nil {
			if last != nil {
				failure = last
			}
			return o.conclude(failure)
		}
		a := o.send(ctx, b, choice)
		if a.verdict.Code == resultcode.OK {
			if !o.worthRepeat(a) {
				return o.deliver(a)
			}
			o.answered = &a
		}
		if ctx.Err() != nil {
			return o.conclude(o.caller.cancelled())
		}
		last = a.failure()
		if !o.mayRepeat(a) {
			return o.conclude(last)
		}
		o.logRepeat(a)
	}
}

// pick chooses an instance that was not tried.
func (o *outgoing) pick() (balancer.Choice, *balancer.Balancer, *resultcode.Error) {
	now := time.Now()
	b, avoid := o.caller.config.Instances.find(now, o.service)
	if b == nil {
		return balancer.Choice{}, nil, resultcode.New(resultcode.NoInstance, "no instance of service %q is known", o.service)
	}
	request := balancer.PickRequest{
		Kind: o.route.Name, Priority: o.priority, Rank: o.rank,
		Exclude: append(avoid, o.tried...), LowestLevel: len(o.tried) > 0, NonIdempotent: !o.route.Idempotent,
	}
	choice, err := b.Pick(now, request)
	if err != nil && o.reached > 0 && resultcode.From(err).Code == resultcode.NoInstance {
		// All instances were tried; one that rejected the call may take it now.
		o.tried = o.tried[:0]
		request.Exclude = avoid
		choice, err = b.Pick(now, request)
	}
	if err != nil && len(avoid) > 0 && resultcode.From(err).Code == resultcode.NoInstance {
		// Only suspects are left; one of them may be back.
		request.Exclude = o.tried
		choice, err = b.Pick(now, request)
	}
	if err != nil {
		return balancer.Choice{}, nil, resultcode.From(err)
	}
	o.tried = append(o.tried, choice.Instance.ID)
	return choice, b, nil
}

func (o *outgoing) hop() hop {
	return hop{
		ID: o.info.ID, Kind: o.route.Name, Caller: o.caller.config.Service, Priority: o.priority, Rank: o.rank, Depth: o.depth,
		Idempotent: o.route.Idempotent, Repeat: o.repeat || o.reached > 0, Timeout: time.Until(o.deadline),
	}
}

// send makes a try, or two side by side when the first takes long.
func (o *outgoing) send(ctx context.Context, b *balancer.Balancer, choice balancer.Choice) attempt {
	if delay, ok := o.hedgeDelay(b); ok {
		return o.sendHedged(ctx, b, choice, delay)
	}
	a := o.try(ctx, choice, o.hop())
	b.Done(time.Now(), choice, a.feedback())
	o.note(a)
	return a
}

// try sends the call to one instance.
func (o *outgoing) try(ctx context.Context, choice balancer.Choice, p hop) attempt {
	started := time.Now()
	a := attempt{choice: choice}
	p.Instance = choice.Instance.ID
	if p.Timeout < time.Millisecond {
		a.verdict = verdict{Code: resultcode.DeadlineInsufficient, Execution: resultcode.NotRun, Detail: "no time is left"}
		return a
	}
	r := *o.request
	r.Header = maps.Clone(o.request.Header)
	r.Once = !o.route.Idempotent
	p.encode(r.Header)
	response, err := o.caller.config.Peers.Exchange(ctx, choice.Instance.PeerAddress, &r, o.deadline)
	a.latency = time.Since(started)
	if err != nil {
		a.verdict = o.broken(ctx, choice, err)
	} else {
		a.verdict = decodeVerdict(response.Header)
		a.response = response
		o.caller.config.Instances.trust(choice.Instance.ID)
		if code := a.verdict.Code; code == resultcode.NoInstance || code == resultcode.UpstreamUnreachable || code == resultcode.Draining {
			o.caller.config.Instances.suspect(time.Now(), choice.Instance.ID)
		}
	}
	return a
}

// note counts a try.
func (o *outgoing) note(a attempt) {
	if a.verdict.Reached {
		o.reached++
		if a.verdict.Execution != resultcode.NotRun {
			o.ran++
		}
	} else {
		o.moves++
	}
	if a.verdict.Execution != resultcode.NotRun && a.verdict.Code != resultcode.OK && o.mayHaveRun == nil {
		o.mayHaveRun = a.failure()
	}
}

// broken interprets an exchange with another node that gave no response.
func (o *outgoing) broken(ctx context.Context, choice balancer.Choice, err error) verdict {
	var failure *h1.SendError
	if !errors.As(err, &failure) {
		return verdict{Code: resultcode.Internal, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
	}
	if ctx.Err() != nil {
		return verdict{Code: o.caller.cancelled().Code, Execution: resultcode.Unknown, Reached: failure.Sent, Detail: err.Error()}
	}
	if !failure.Sent {
		o.caller.config.Instances.suspect(time.Now(), choice.Instance.ID)
		return verdict{Code: resultcode.UpstreamUnreachable, Execution: resultcode.NotRun, Detail: err.Error()}
	}
	if failure.Expired() && !time.Now().Before(o.deadline) {
		return verdict{Code: resultcode.DeadlineExceeded, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
	}
	o.caller.config.Instances.suspect(time.Now(), choice.Instance.ID)
	return verdict{Code: resultcode.ConnectionLost, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
}

func (a attempt) feedback() balancer.Feedback {
	return balancer.Feedback{
		Latency: a.latency, Code: a.verdict.Code, Execution: a.verdict.Execution,
		Failed: a.verdict.Code != resultcode.OK || a.response.Status >= 500, NestedFailure: a.verdict.RefusedBelow || a.verdict.ShedBelow, Load: a.verdict.Load,
	}
}

func (a attempt) failure() *resultcode.Error {
	failure := resultcode.New(a.verdict.Code, "instance %q: %s", a.choice.Instance.ID, a.verdict.Detail)
	failure.Execution = a.verdict.Execution
	return failure
}

// worthRepeat reports whether another instance may succeed where this one's
// upstream failed. After a call below that was refused, or that the retry budget did
// not let repeat, it would meet the same again, and all its calls below would be
// charged to that budget.
func (o *outgoing) worthRepeat(a attempt) bool {
	return o.route.Idempotent && a.response.Status >= 500 && a.response.Status != 504 && !a.verdict.RefusedBelow
}

// mayRepeat decides whether another instance is tried, and pays for it.
func (o *outgoing) mayRepeat(a attempt) bool {
	if time.Until(o.deadline) < minRepeatTime {
		return false
	}
	if a.verdict.Execution == resultcode.NotRun && !a.verdict.Reached {
		if a.verdict.Code == resultcode.Overloaded || a.verdict.Code == resultcode.DeadlineInsufficient {
			o.sheds++
		}
		o.caller.moves.Inc(1)
		return o.moves < maxMoves && o.sheds <= maxShedMoves
	}
	if a.verdict.Execution != resultcode.NotRun && !o.route.Idempotent {
		return false
	}
	if o.ran >= max(1, o.route.MaxAttempts) || o.reached >= maxArrivals {
		return false
	}
	if !o.caller.config.Budget.Take(time.Now(), o.service, o.standing()) {
		o.unpaid = true
		return false
	}
	o.caller.repeats.Inc(1)
	return true
}

// standing places the root of the call from 0, shed first, to 1.
func (o *outgoing) standing() float64 {
	return (float64(o.priority) + float64(o.rank)/(1<<32)) / call.PriorityCount
}

func (o *outgoing) logRepeat(a attempt) {
	o.caller.config.Log.Info().Str("id", o.info.ID).Str("kind", o.route.Name).Str("instance", a.choice.Instance.ID).
		Int("code", int(a.verdict.Code)).Str("run", a.verdict.Execution.String()).Dur("latency", a.latency).
		Dur("entry_age", time.Since(a.choice.Instance.ReadySince)).Uint64("config", o.config).
		Dur("left", time.Until(o.deadline)).Str("detail", a.verdict.Detail).Msg("call tried again")
}

// deliver passes the upstream's response on.
func (o *outgoing) deliver(a attempt) *h1.Response {
	if a.verdict.RefusedBelow {
		o.parent.childRefused()
	}
	if a.verdict.ShedBelow {
		o.parent.childShed()
	}
	o.caller.count(resultcode.OK)
	if a.response.Status >= 500 {
		o.caller.config.Log.Info().Str("id", o.info.ID).Str("kind", o.route.Name).Str("instance", a.choice.Instance.ID).
			Int("status", a.response.Status).Dur("latency", a.latency).Int("upstreams", o.reached).Uint64("config", o.config).
			Bool("refused_below", a.verdict.RefusedBelow).Msg("upstream failed the call")
	}
	return a.response
}

// conclude responds to a call that no upstream has answered.
func (o *outgoing) conclude(failure *resultcode.Error) *h1.Response {
	if o.unpaid {
		o.parent.childRefused()
	}
	if o.answered != nil {
		return o.deliver(*o.answered)
	}
	if failure.Execution == resultcode.NotRun {
		o.parent.childRefused()
	}
	if failure.Code == resultcode.Overloaded || failure.Code == resultcode.DeadlineInsufficient {
		o.parent.childShed()
	}
	if o.mayHaveRun != nil && failure.Execution == resultcode.NotRun {
		failure = o.mayHaveRun
	}
	if failure.Code == resultcode.CallerGone && failure.Execution == resultcode.NotRun {
		failure.Execution = resultcode.Unknown
	}
	if failure.Execution == resultcode.NotRun {
		return o.caller.refuse(o.request, o.info, o.route, o.config, failure)
	}
	o.caller.count(failure.Code)
	o.caller.config.Log.Info().Str("id", o.info.ID).Str("kind", o.route.Name).Int("code", int(failure.Code)).
		Dur("age", time.Since(o.request.Arrived)).Int("upstreams", o.reached).Strs("tried", o.tried).
		Uint64("config", o.config).Str("detail", failure.Detail).Msg("call failed")
	return o.caller.respond(o.info, failure)
}
