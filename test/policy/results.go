package policy

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// binWidth is the resolution of the results over time.
const binWidth = 100 * time.Millisecond

// classResults counts the requests of one class that arrived after the warm-up.
type classResults struct {
	offered, good int
	latencies     []time.Duration
}

// bin counts requests by the time of their arrival, and completions.
type bin struct {
	offered, good, completed int
}

// Results are the measurements of one run.
type Results struct {
	mu       sync.Mutex
	scenario Scenario
	classes  map[string]*classResults
	bins     []bin
	// executions counts what upstreams started, used what successful requests
	// rest on.
	executions, used int
	// abandoned counts executions whose caller was gone before the response.
	abandoned int
	// refusedImportant counts calls that were refused for load at the end of all
	// moves while an instance that they had not tried held less important calls.
	refusedImportant, refusedEarlyImportant int
	refusals                                int
}

func newResults(s Scenario) *Results {
	bins := int((s.Length + 2*s.timeout()) / binWidth)
	return &Results{scenario: s, classes: make(map[string]*classResults), bins: make([]bin, bins+1)}
}

func (r *Results) class(c *Class) *classResults {
	found, ok := r.classes[c.Kind]
	if !ok {
		found = &classResults{}
		r.classes[c.Kind] = found
	}
	return found
}

func (r *Results) executed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions++
}

func (r *Results) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned++
}

func (r *Results) succeeded(c *Class, arrived, done time.Duration, executions int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used += executions
	r.bins[arrived/binWidth].offered++
	r.bins[arrived/binWidth].good++
	r.bins[done/binWidth].completed++
	if arrived < r.scenario.Warmup {
		return
	}
	k := r.class(c)
	k.offered++
	k.good++
	k.latencies = append(k.latencies, done-arrived)
}

func (r *Results) lost(c *Class, arrived time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bins[arrived/binWidth].offered++
	if arrived >= r.scenario.Warmup {
		r.class(c).offered++
	}
}

// refused checks a call that was given up: promise 2 of the design page.
func (r *Results) refused(route *route, last reply, local bool) {
	overload := last.code == resultcode.Overloaded
	if !overload || route.work.meta.Deadline.Before(time.Now()) {
		return
	}
	breach := lessImportantWaits(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals++
	if breach && local {
		r.refusedEarlyImportant++
	} else if breach {
		r.refusedImportant++
	}
}

// lessImportantWaits reports whether an instance that the call could still have
// moved to holds a waiting call of a lower priority.
func lessImportantWaits(route *route) bool {
	if route.account.Left().Moves == 0 {
		return false
	}
	for _, n := range route.node.cluster.nodes[route.service] {
		level, ok := n.controller.LowestQueued()
		if ok && level.Priority < route.work.meta.Priority && !slices.Contains(route.tried, n.id) {
			return true
		}
	}
	return false
}

// Goodput returns the requests per second that completed after the warm-up.
func (r *Results) Goodput() float64 {
	return r.completedBetween(r.scenario.Warmup, r.scenario.Length)
}

func (r *Results) completedBetween(from, to time.Duration) float64 {
	sum := 0
	for _, b := range r.bins[from/binWidth : to/binWidth] {
		sum += b.completed
	}
	return float64(sum) / (to - from).Seconds()
}

// Success returns the part of the class's requests that succeeded in time.
func (r *Results) Success(kind string) float64 {
	c := r.classes[kind]
	if c == nil || c.offered == 0 {
		return 0
	}
	return float64(c.good) / float64(c.offered)
}

// Quantile returns a quantile of the latency of successful requests.
func (r *Results) Quantile(kind string, q float64) time.Duration {
	c := r.classes[kind]
	if c == nil || len(c.latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(c.latencies)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// Unused returns the part of all executions that no successful request rests on.
func (r *Results) Unused() float64 {
	return 1 - float64(r.used)/float64(max(1, r.executions))
}

// Abandoned returns the part of all executions whose caller was gone before the
// response came.
func (r *Results) Abandoned() float64 {
	return float64(r.abandoned) / float64(max(1, r.executions))
}

// LeastDelivered returns the lowest number of completions in any second between
// the two times.
func (r *Results) LeastDelivered(from, to time.Duration) float64 {
	least := r.completedBetween(from, from+time.Second)
	for at := from; at+time.Second <= to; at += binWidth {
		least = min(least, r.completedBetween(at, at+time.Second))
	}
	return least
}

// recoveryWindow smooths the arrival noise of the recovery time.
const recoveryWindow = 5

// Recovery returns the time from end until at least the given part of the
// requests that arrive succeeds, for good.
func (r *Results) Recovery(end time.Duration, part float64) time.Duration {
	last := int(r.scenario.Length/binWidth) - recoveryWindow
	recovered := last
	for i := last; i >= int(end/binWidth); i-- {
		offered, good := 0, 0
		for _, b := range r.bins[i : i+recoveryWindow] {
			offered += b.offered
			good += b.good
		}
		if float64(good) < part*float64(offered) {
			break
		}
		recovered = i
	}
	return time.Duration(recovered)*binWidth - end
}
