package policy

import (
	"context"
	"errors"
	"time"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/retry"
)

// route is one outgoing call of a node, as the router of the daemon makes it.
type route struct {
	node    *node
	service int
	work    work
	account *retry.Account
	tried   []string
	lowest  bool
}

// call makes one call with the retries of the policy or of the baseline.
func (n *node) call(ctx context.Context, service int, w work) (reply, call.Allowance) {
	r := &route{node: n, service: service, work: w, account: retry.NewAccount(w.meta.Allowance)}
	if n.cluster.scenario.Baseline {
		return r.baseline(ctx), call.Allowance{}
	}
	return r.policy(ctx)
}

func (r *route) baseline(ctx context.Context) reply {
	var last reply
	for range 1 + baselineRetries {
		choice, err := r.pick(false)
		if err != nil {
			return failure(err)
		}
		last = r.send(ctx, choice, r.work.child(call.Allowance{}))
		if last.good() || ctx.Err() != nil {
			return last
		}
		_ = sleep(ctx, baselineBackoff)
	}
	return last
}

func (r *route) policy(ctx context.Context) (reply, call.Allowance) {
	for attempt := 1; ; attempt++ {
		last, local := r.attempt(ctx, attempt)
		if last.good() || ctx.Err() != nil {
			return last, r.account.Spent()
		}
		d := retry.Decide(r.outcome(last, local, attempt), r.work.random)
		if d.Action == retry.Stop || !r.account.Charge(d.Action.Cost()) {
			r.node.cluster.results.refused(r, last, local)
			return last, r.account.Spent()
		}
		r.lowest = d.LowestLevel
		if d.Action == retry.Retry && r.balancer().ReadyCount(r.tried) == 0 {
			r.tried = nil
		}
		_ = sleep(ctx, d.Backoff)
	}
}

func (r *route) outcome(last reply, local bool, attempt int) retry.Outcome {
	return retry.Outcome{
		Code: last.code, Execution: last.execution, NotSent: local, Idempotent: r.work.class.Idempotent,
		Replayable: true, UnattemptedInstances: r.balancer().ReadyCount(r.tried), Attempts: attempt,
		Remaining: time.Until(r.work.meta.Deadline), Left: r.account.Left(),
		Sent: last.share, Spent: last.spent,
	}
}

// attempt makes one attempt and its hedge. It reports whether this node gave up
// before it sent anything.
func (r *route) attempt(ctx context.Context, attempt int) (last reply, local bool) {
	choice, err := r.pick(false)
	if err != nil {
		return failure(err), true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, 2)
	r.start(ctx, choice, replies)
	open := 1
	hedge := r.hedgeTimer(attempt)
	for open > 0 {
		select {
		case last = <-replies:
			open--
			if last.reported {
				r.account.Refund(last.share, last.spent)
			}
			if last.good() {
				return last, false
			}
		case <-hedge:
			hedge = nil
			if r.startHedge(ctx, replies) {
				open++
			}
		}
	}
	return last, false
}

func (r *route) hedgeTimer(attempt int) <-chan time.Time {
	delay, ok := r.balancer().HedgeDelay(time.Now(), r.work.meta.Kind)
	may := retry.MayHedge(retry.HedgeRequest{
		Enabled: ok, Idempotent: r.work.class.Idempotent, Replayable: true, Attempts: attempt,
		UnattemptedInstances: r.balancer().ReadyCount(r.tried), Delay: delay, Remaining: time.Until(r.work.meta.Deadline), Left: r.account.Left(),
	})
	if !may {
		return nil
	}
	return time.After(delay)
}

func (r *route) startHedge(ctx context.Context, replies chan<- reply) bool {
	choice, err := r.pick(true)
	if err != nil {
		return false
	}
	if !r.account.Charge(retry.HedgeCost) {
		r.balancer().Done(time.Now(), choice, balancer.Feedback{Code: resultcode.CallerGone, Execution: resultcode.NotRun})
		return false
	}
	r.start(ctx, choice, replies)
	return true
}

// start sends in the background. The reply carries the share back, so that only
// the loop of attempt touches the account.
func (r *route) start(ctx context.Context, choice balancer.Choice, replies chan<- reply) {
	share := r.account.Reserve()
	w := r.work.child(share)
	go func() {
		replies <- r.send(ctx, choice, w)
	}()
}

// send makes one attempt at the chosen instance and reports it to the balancer.
func (r *route) send(ctx context.Context, choice balancer.Choice, w work) reply {
	w.meta.Attempt = newAttempt(w.random)
	started := time.Now()
	last := r.exchange(ctx, choice.Instance.ID, w)
	last.share = w.meta.Allowance
	r.balancer().Done(time.Now(), choice, balancer.Feedback{
		Latency: time.Since(started), Code: last.code, Execution: last.execution, Failed: last.failed, Load: last.load,
	})
	return last
}

// exchange is the path to the instance and back. The caller sees the end of ctx
// at once, as CallerGone when it gave up and as DeadlineExceeded at the deadline.
func (r *route) exchange(ctx context.Context, id string, w work) reply {
	results := r.node.cluster.results
	if sleep(ctx, hopDelay) != nil {
		return gaveUp(ctx)
	}
	last := r.node.cluster.byID[id].serve(ctx, w)
	if ctx.Err() != nil || sleep(ctx, hopDelay) != nil {
		if last.execution != resultcode.NotRun {
			results.abandon()
		}
		return gaveUp(ctx)
	}
	return last
}

func gaveUp(ctx context.Context) reply {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reply{code: resultcode.DeadlineExceeded}
	}
	return reply{code: resultcode.CallerGone}
}

func (r *route) pick(hedge bool) (balancer.Choice, error) {
	choice, err := r.balancer().Pick(time.Now(), balancer.PickRequest{
		Kind: r.work.meta.Kind, Priority: r.work.meta.Priority, Rank: r.work.meta.Rank(),
		Exclude: r.tried, LowestLevel: r.lowest, Hedge: hedge,
	})
	if err == nil && !r.node.cluster.scenario.Baseline {
		r.tried = append(r.tried, choice.Instance.ID)
	}
	return choice, err
}

func (r *route) balancer() *balancer.Balancer {
	return r.node.balancers[r.service]
}

func failure(err error) reply {
	var e *resultcode.Error
	if errors.As(err, &e) {
		return reply{code: e.Code, execution: e.Execution}
	}
	return reply{code: resultcode.Internal}
}
