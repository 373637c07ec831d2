package mesh

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/budget"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/organisation"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/routing"
)

const (
	// maxMoves bounds the attempts at a call that reach no upstream.
	maxMoves = 8
	// maxReached bounds the attempts at a call that reach an upstream. An attempt that
	// the upstream rejects does not count toward the route's MaxAttempts, but the next
	// attempt is paid from the retry budget.
	maxReached = 8
	// maxShedMoves bounds the moves after refusals for want of capacity or time: more
	// of them would only spread the overload of the service.
	maxShedMoves = 2
	// minAttemptTime is the time that must be left before the deadline for a
	// new attempt.
	minAttemptTime = 20 * time.Millisecond
	// retryAfterBase and retryAfterSpread randomize Retry-After, so that
	// refused callers do not return all at once.
	retryAfterBase   = 400 * time.Millisecond
	retryAfterSpread = 800 * time.Millisecond
)

// retryAfter returns the value of Retry-After for a call that may succeed after a given time,
// zero if that is not known.
func retryAfter(known time.Duration) string {
	wait := retryAfterBase + rand.N(retryAfterSpread)
	if known > 0 {
		wait = known + rand.N(known/2+retryAfterBase)
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 2, 64)
}

// outboundCall is the state of one call on its way to an instance.
type outboundCall struct {
	outbound *Outbound
	request  *h1.Request
	info     CallInfo
	route    *routing.Route
	// configVersion is the version of the configuration that the route belongs to.
	configVersion uint64
	// service is the service that runs the call, chosen among the route's targets.
	service string
	// parent is the in-flight call for which the upstream made this one, nil
	// for a root request.
	parent *inFlightCall
	// organisation is the one for which the call is made, nil if there is none. fingerprint is that
	// of the credential by which the caller has proved it, empty if it has not.
	// quotaTaken is set while the call is counted in the quota of the organisation.
	organisation *organisation.Organisation
	fingerprint  string
	quotaTaken   bool

	priority call.Priority
	rank     uint32
	depth    uint8
	// retry is set when the parent call is a retry or counts as one, so that
	// this call counts as one too.
	retry    bool
	deadline time.Time
	// remaining is how many nested calls the parent call probably still makes, with this
	// one. It is one for a root request.
	remaining int

	// attempted lists the ids of the instances at which an attempt was made, since
	// selectInstance last cleared the list because no other instance was left.
	attempted []string
	// reached counts the attempts that reached an upstream or may have, possibleRuns
	// those of them whose upstream may have run the call, unreached the attempts that
	// reached no upstream.
	reached, possibleRuns, unreached int
	// retryDenied is set when the retry budget denied a retry.
	retryDenied bool
	// sheds counts the attempts that were refused for want of capacity or time before they
	// reached an upstream.
	sheds int
	// possiblyRunFailure is the failure of the first attempt with a code other than OK
	// after which the call may have run, nil when there is none.
	possiblyRunFailure *resultcode.Error
	// upstreamFailure is the last attempt at which an upstream itself failed the call.
	// Its response is returned when no later attempt succeeds.
	upstreamFailure *attempt
}

// attempt is the result of one attempt at a call.
type attempt struct {
	choice balancer.Choice
	// response is nil when the peer node gave none.
	response *h1.Response
	outcome  outcome
	latency  time.Duration
}

// inherit sets what a nested call takes from its parent call: the priority and rank of the
// root request, whether it counts as a retry, and the depth. The deadline of the parent
// call bounds that of the nested call. A root request has no parent call and is unchanged.
func (o *outboundCall) inherit() {
	p := o.parent
	if p == nil {
		return
	}
	o.priority, o.rank, o.retry = p.Priority, p.Rank, p.Retry
	o.depth = p.Depth + 1
	o.remaining = o.outbound.config.InFlight.beginNested(p)
	if p.deadline.Before(o.deadline) {
		o.deadline = p.deadline
	}
}

// execute makes attempts until an upstream has responded and a retry is not worthwhile, or
// until no further attempt is possible, and returns the response to the call.
func (o *outboundCall) execute(ctx context.Context) *h1.Response {
	if o.retry {
		o.outbound.config.Budget.Charge(time.Now(), o.service)
	} else {
		o.outbound.config.Budget.RecordArrival(time.Now(), o.service)
	}
	// last is the failure of the previous attempt, nil before the first one. When no
	// instance can be selected for another attempt, the response states that failure, which
	// says more than that no instance is left.
	var last *resultcode.Error
	for {
		choice, b, failure := o.selectInstance()
		if failure != nil {
			if last != nil {
				failure = last
			}
			return o.respondFailure(failure)
		}
		a := o.send(ctx, b, choice)
		if a.outcome.Code == resultcode.OK {
			if !o.worthRetry(a) {
				return o.forwardResponse(a)
			}
		}
		if ctx.Err() != nil {
			return o.respondFailure(o.outbound.cancelCause())
		}
		last = a.failure()
		if !o.allowNextAttempt(a) {
			return o.respondFailure(last)
		}
		o.logNextAttempt(a)
	}
}

// selectInstance chooses an instance and records it in attempted. It prefers instances
// at which no attempt was made yet and that are not suspected to be unreachable.
func (o *outboundCall) selectInstance() (balancer.Choice, *balancer.Balancer, *resultcode.Error) {
	now := time.Now()
	b, avoid := o.outbound.config.Instances.lookup(now, o.service)
	if b == nil {
		return balancer.Choice{}, nil, resultcode.New(resultcode.NoInstance, "no instance of service %q is known", o.service)
	}
	request := balancer.PickRequest{
		Kind: o.route.Name, Priority: o.priority, Rank: o.rank,
		Exclude: append(avoid, o.attempted...), PreferLowestLevel: len(o.attempted) > 0, NonIdempotent: !o.route.Idempotent,
	}
	choice, err := b.Pick(now, request)
	if err != nil && o.reached > 0 && resultcode.From(err).Code == resultcode.NoInstance {
		// An attempt was made at every instance that is not suspected; one that rejected
		// the call may accept it now.
		o.attempted = o.attempted[:0]
		request.Exclude = avoid
		choice, err = b.Pick(now, request)
	}
	if err != nil && len(avoid) > 0 && resultcode.From(err).Code == resultcode.NoInstance {
		// No instance is left that is not suspected; a suspected one may be reachable
		// again.
		request.Exclude = o.attempted
		choice, err = b.Pick(now, request)
	}
	if err != nil {
		return balancer.Choice{}, nil, resultcode.From(err)
	}
	o.attempted = append(o.attempted, choice.Instance.ID)
	return choice, b, nil
}

func (o *outboundCall) hop() hop {
	return hop{
		ID: o.info.ID, Kind: o.route.Name, Caller: o.outbound.config.Service, Priority: o.priority, Rank: o.rank, Depth: o.depth,
		Idempotent: o.route.Idempotent, Retry: o.retry || o.reached > 0, Timeout: time.Until(o.deadline),
		Organisation: o.organisationName(), Fingerprint: o.fingerprint, ConfigVersion: o.configVersion,
	}
}

// send makes an attempt, and a hedge beside it when the first takes long.
func (o *outboundCall) send(ctx context.Context, b *balancer.Balancer, choice balancer.Choice) attempt {
	if delay, ok := o.hedgeDelay(b); ok {
		return o.sendHedged(ctx, b, choice, delay)
	}
	a := o.sendTo(ctx, choice, o.hop())
	b.Done(time.Now(), choice, a.feedback())
	o.record(a)
	return a
}

// sendTo makes one attempt at one instance. It suspects an instance whose node is
// unreachable, loses the connection or responds that the instance accepts no calls, and
// clears the suspicion of one whose node responds otherwise. An attempt that was cancelled,
// or whose deadline passed after it was sent, changes no suspicion.
func (o *outboundCall) sendTo(ctx context.Context, choice balancer.Choice, p hop) attempt {
	started := time.Now()
	a := attempt{choice: choice}
	p.Instance = choice.Instance.ID
	p.RateLimit = o.outbound.config.Instances.rateLimit(started, p.Instance)
	if p.Timeout < time.Millisecond {
		a.outcome = outcome{Code: resultcode.DeadlineInsufficient, Execution: resultcode.NotRun, Detail: "no time is left before the deadline"}
		return a
	}
	r := *o.request
	r.Header = cloneForHop(o.request.Header)
	r.NonIdempotent = !o.route.Idempotent
	p.encode(r.Header)
	response, err := o.outbound.config.Peers.Exchange(ctx, choice.Instance.PeerAddress, &r, o.deadline)
	a.latency = time.Since(started)
	if err != nil {
		a.outcome = o.exchangeOutcome(ctx, choice, err)
	} else {
		a.outcome = decodeOutcome(response.Header)
		a.response = response
		o.outbound.config.Instances.noteLoad(time.Now(), choice.Instance.ID, a.outcome.Load)
		if a.outcome.Leaving {
			o.outbound.config.Instances.noteLeaving(time.Now(), choice.Instance)
		}
		o.outbound.config.Instances.clearSuspicion(choice.Instance.ID)
		if code := a.outcome.Code; code == resultcode.NoInstance || code == resultcode.UpstreamUnreachable || code == resultcode.Draining {
			o.outbound.config.Instances.suspect(time.Now(), choice.Instance.ID)
		}
	}
	return a
}

// record counts an attempt by its outcome and sets upstreamFailure and possiblyRunFailure.
func (o *outboundCall) record(a attempt) {
	if a.outcome.Reached {
		if a.succeeded() {
			o.outbound.config.Budget.RecordRun(time.Now(), o.service, a.outcome.Nested)
		}
		o.reached++
		if a.outcome.Execution != resultcode.NotRun {
			o.possibleRuns++
		}
	} else {
		o.unreached++
	}
	switch {
	case a.outcome.Code == resultcode.OK:
		if !a.succeeded() {
			o.upstreamFailure = &a
		}
	case a.outcome.Execution != resultcode.NotRun && o.possiblyRunFailure == nil:
		o.possiblyRunFailure = a.failure()
	}
}

// exchangeOutcome returns the outcome of an exchange in which the peer node gave no
// response.
func (o *outboundCall) exchangeOutcome(ctx context.Context, choice balancer.Choice, err error) outcome {
	var failure *h1.SendError
	if !errors.As(err, &failure) {
		return outcome{Code: resultcode.Internal, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
	}
	if ctx.Err() != nil {
		return outcome{Code: o.outbound.cancelCause().Code, Execution: resultcode.Unknown, Reached: failure.Sent, Detail: err.Error()}
	}
	if !failure.Sent {
		o.outbound.config.Instances.suspect(time.Now(), choice.Instance.ID)
		return outcome{Code: resultcode.UpstreamUnreachable, Execution: resultcode.NotRun, Detail: err.Error()}
	}
	if failure.DeadlineExceeded() && !time.Now().Before(o.deadline) {
		return outcome{Code: resultcode.DeadlineExceeded, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
	}
	o.outbound.config.Instances.suspect(time.Now(), choice.Instance.ID)
	return outcome{Code: resultcode.ConnectionLost, Execution: resultcode.Unknown, Reached: true, Detail: err.Error()}
}

func (a attempt) feedback() balancer.Feedback {
	return balancer.Feedback{
		Latency: a.latency, Code: a.outcome.Code, Execution: a.outcome.Execution,
		Failed: a.outcome.Code != resultcode.OK || a.response.Status >= 500, NestedFailure: a.outcome.NestedRefused || a.outcome.NestedShed, Load: a.outcome.Load,
	}
}

func (a attempt) failure() *resultcode.Error {
	failure := resultcode.New(a.outcome.Code, "instance %q: %s", a.choice.Instance.ID, a.outcome.Detail)
	failure.Execution = a.outcome.Execution
	return failure
}

// worthRetry reports whether the upstream responded to an idempotent call with a failure
// after which a new attempt at another instance may succeed. Status 504 is not such a
// failure. Nor is any status after a nested call that was refused, or whose retry the retry
// budget denied: a retry would meet the same refusal, and all its nested calls would be
// charged to that budget.
func (o *outboundCall) worthRetry(a attempt) bool {
	return o.route.Idempotent && a.response.Status >= 500 && a.response.Status != 504 && !a.outcome.NestedRefused
}

// allowNextAttempt decides whether a new attempt may follow the failed attempt a. A move
// is free; a retry is paid from the retry budget. The metric call_moves counts a move
// also when the limits on moves deny it.
func (o *outboundCall) allowNextAttempt(a attempt) bool {
	if time.Until(o.deadline) < minAttemptTime || !o.mayContinue(a) {
		return false
	}
	if o.outbound.shutdown.check(time.Now(), o.route.Name, o.deadline, o.route.Objective) != nil {
		return false
	}
	if a.outcome.Execution == resultcode.NotRun && !a.outcome.Reached {
		if a.outcome.Code == resultcode.Overloaded || a.outcome.Code == resultcode.DeadlineInsufficient {
			o.sheds++
		}
		o.outbound.moves.Inc(1)
		return o.unreached < maxMoves && o.sheds <= maxShedMoves
	}
	if a.outcome.Execution != resultcode.NotRun && !o.route.Idempotent {
		return false
	}
	if o.possibleRuns >= max(1, o.route.MaxAttempts) || o.reached >= maxReached {
		return false
	}
	if !o.outbound.config.Budget.Take(time.Now(), o.service, o.claim()) {
		o.retryDenied = true
		o.outbound.denials.Inc(1)
		return false
	}
	o.outbound.retries.Inc(1)
	return true
}

// claim returns what the retry budget needs to know about a retry of this call.
func (o *outboundCall) claim() budget.Claim {
	return budget.Claim{Priority: o.priority, Rank: o.rank, Remaining: o.remaining}
}

func (o *outboundCall) logNextAttempt(a attempt) {
	o.outbound.config.Log.Info().Str("id", o.info.ID).Str("kind", o.route.Name).Str("instance", a.choice.Instance.ID).
		Int("code", int(a.outcome.Code)).Str("run", a.outcome.Execution.String()).Dur("latency", a.latency).
		Dur("entry_age", time.Since(a.choice.Instance.ReadySince)).Uint64("config", o.configVersion).
		Dur("left", time.Until(o.deadline)).Str("detail", a.outcome.Detail).Msg("attempt failed; making another attempt")
}

// forwardResponse returns the upstream's response, from which only the headers of this
// system were removed, and reports refused nested calls to the parent call.
func (o *outboundCall) forwardResponse(a attempt) *h1.Response {
	if a.outcome.NestedRefused {
		o.parent.noteNestedRefusal()
	}
	if a.outcome.NestedShed {
		o.parent.noteNestedShed()
	}
	o.outbound.countResult(resultcode.OK)
	if a.response.Status >= 500 {
		o.outbound.config.Log.Info().Str("id", o.info.ID).Str("kind", o.route.Name).Str("instance", a.choice.Instance.ID).
			Int("status", a.response.Status).Dur("latency", a.latency).Int("upstreams", o.reached).Uint64("config", o.configVersion).
			Bool("refused_below", a.outcome.NestedRefused).Msg("upstream failed the call")
	}
	return a.response
}

// respondFailure ends a call for which no attempt succeeded. It returns the failure
// response of an upstream if there is one, else a response of this node. It reports to the
// parent call that this call was refused or shed, or that a retry was denied.
func (o *outboundCall) respondFailure(failure *resultcode.Error) *h1.Response {
	if o.retryDenied {
		o.parent.noteNestedRefusal()
	}
	if o.upstreamFailure != nil {
		return o.forwardResponse(*o.upstreamFailure)
	}
	if failure.Execution == resultcode.NotRun {
		o.parent.noteNestedRefusal()
	}
	if failure.Code == resultcode.Overloaded || failure.Code == resultcode.DeadlineInsufficient {
		o.parent.noteNestedShed()
	}
	if o.possiblyRunFailure != nil && failure.Execution == resultcode.NotRun {
		failure = o.possiblyRunFailure
	}
	if failure.Code == resultcode.CallerGone && failure.Execution == resultcode.NotRun {
		failure.Execution = resultcode.Unknown
	}
	if failure.Execution == resultcode.NotRun {
		return o.refuseCall(failure)
	}
	o.outbound.countResult(failure.Code)
	o.outbound.config.Log.Info().Str("id", o.info.ID).Str("kind", o.route.Name).Int("code", int(failure.Code)).
		Dur("age", time.Since(o.request.Arrived)).Int("upstreams", o.reached).Strs("tried", o.attempted).
		Uint64("config", o.configVersion).Str("detail", failure.Detail).Msg("call failed")
	return o.outbound.failureResponse(o.info, failure)
}
