package policy

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// binWidth is the length of the intervals in which results over time are counted.
const binWidth = 100 * time.Millisecond

// classResults counts the requests of one class that arrived after the warm-up.
type classResults struct {
	offered, succeeded int
	latencies          []time.Duration
}

// bin counts the requests that arrived in an interval, those of them that succeeded,
// and the successful requests that completed in it.
type bin struct {
	offered, succeeded, completed int
}

// Results are the measurements of one run.
type Results struct {
	mu       sync.Mutex
	scenario Scenario
	// classes is indexed by the kind of the class.
	classes map[string]*classResults
	// bins are the consecutive intervals since the start, of binWidth each.
	bins []bin
	// executions counts the executions that upstreams started, useful those of them that
	// contributed to successful requests.
	executions, useful int
	// abandoned counts attempts that may have run and whose caller gave up before the
	// response.
	abandoned int
	// inversions counts priority inversions: calls that finally failed because they were
	// shed, although they had a move left and an instance that they had not attempted had
	// calls of a lower priority queued. localInversions counts those that the local node
	// refused without sending another attempt; they are not in inversions.
	inversions, localInversions int
	// refusals counts the calls that finally failed with code Overloaded before their
	// deadline, also those that the local node refused.
	refusals int
}

func newResults(s Scenario) *Results {
	bins := int((s.Length + 2*s.timeout()) / binWidth)
	return &Results{scenario: s, classes: make(map[string]*classResults), bins: make([]bin, bins+1)}
}

// class returns the results of a class, adding them if there are none. The lock must be
// held.
func (r *Results) class(c *Class) *classResults {
	found, ok := r.classes[c.Kind]
	if !ok {
		found = &classResults{}
		r.classes[c.Kind] = found
	}
	return found
}

func (r *Results) addExecution() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions++
}

func (r *Results) addAbandoned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned++
}

// addSuccess records a request that succeeded. arrived and done are times since the
// start of the run.
func (r *Results) addSuccess(c *Class, arrived, done time.Duration, executions int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.useful += executions
	r.bins[arrived/binWidth].offered++
	r.bins[arrived/binWidth].succeeded++
	r.bins[done/binWidth].completed++
	if arrived < r.scenario.Warmup {
		return
	}
	results := r.class(c)
	results.offered++
	results.succeeded++
	results.latencies = append(results.latencies, done-arrived)
}

func (r *Results) addFailure(c *Class, arrived time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bins[arrived/binWidth].offered++
	if arrived >= r.scenario.Warmup {
		r.class(c).offered++
	}
}

// checkRefusal counts a call that finally failed with code Overloaded and checks it for a
// priority inversion (promise 2 of the design page). Calls that failed with another code
// or are past their deadline do not count.
func (r *Results) checkRefusal(c *outboundCall, result callResult, notSent bool) {
	overload := result.code == resultcode.Overloaded
	if !overload || c.request.meta.Deadline.Before(time.Now()) {
		return
	}
	inversion := lowerPriorityQueued(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals++
	if inversion && notSent {
		r.localInversions++
	} else if inversion {
		r.inversions++
	}
}

// lowerPriorityQueued reports whether an instance that the call could still have
// moved to has a call of a lower priority queued.
func lowerPriorityQueued(c *outboundCall) bool {
	if c.account.Left().Moves == 0 {
		return false
	}
	for _, n := range c.node.cluster.nodes[c.service] {
		level, ok := n.controller.LowestQueued()
		if ok && level.Priority < c.request.meta.Priority && !slices.Contains(c.attempted, n.id) {
			return true
		}
	}
	return false
}

// Goodput returns the successful requests per second that completed after the
// warm-up.
func (r *Results) Goodput() float64 {
	return r.completionRate(r.scenario.Warmup, r.scenario.Length)
}

// completionRate returns the successful requests per second that completed between
// two times.
func (r *Results) completionRate(from, to time.Duration) float64 {
	sum := 0
	for _, b := range r.bins[from/binWidth : to/binWidth] {
		sum += b.completed
	}
	return float64(sum) / (to - from).Seconds()
}

// SuccessFraction returns the fraction of the requests of a kind that succeeded in
// time.
func (r *Results) SuccessFraction(kind string) float64 {
	c := r.classes[kind]
	if c == nil || c.offered == 0 {
		return 0
	}
	return float64(c.succeeded) / float64(c.offered)
}

// Quantile returns a quantile of the latency of the successful requests of a kind; q is
// between 0 and 1. It returns zero if none succeeded.
func (r *Results) Quantile(kind string, q float64) time.Duration {
	c := r.classes[kind]
	if c == nil || len(c.latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(c.latencies)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// WastedFraction returns the fraction of all executions that contributed to no
// successful request.
func (r *Results) WastedFraction() float64 {
	return 1 - float64(r.useful)/float64(max(1, r.executions))
}

// AbandonedFraction returns the number of attempts that may have run and whose caller gave
// up before the response arrived, divided by the number of executions.
func (r *Results) AbandonedFraction() float64 {
	return float64(r.abandoned) / float64(max(1, r.executions))
}

// MinThroughput returns the lowest number of successful requests that completed in any
// second between the two times.
func (r *Results) MinThroughput(from, to time.Duration) float64 {
	least := r.completionRate(from, from+time.Second)
	for at := from; at+time.Second <= to; at += binWidth {
		least = min(least, r.completionRate(at, at+time.Second))
	}
	return least
}

// recoveryWindow is the number of bins over which RecoveryTime averages, to smooth
// the noise of the arrivals.
const recoveryWindow = 5

// RecoveryTime returns the time from end, a time since the start of the run, until at
// least the given fraction of the arriving requests succeeds and continues to do so until
// the run is over. If that never happens, it returns the time from end to the start of the
// last recoveryWindow bins of the run.
func (r *Results) RecoveryTime(end time.Duration, fraction float64) time.Duration {
	last := int(r.scenario.Length/binWidth) - recoveryWindow
	recovered := last
	for i := last; i >= int(end/binWidth); i-- {
		offered, succeeded := 0, 0
		for _, b := range r.bins[i : i+recoveryWindow] {
			offered += b.offered
			succeeded += b.succeeded
		}
		if float64(succeeded) < fraction*float64(offered) {
			break
		}
		recovered = i
	}
	return time.Duration(recovered)*binWidth - end
}
