package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// distinctFinish is the ratio of two expected times to finish from which they count as different. It
// exceeds the error of an estimate from some twenty calls.
const distinctFinish = 1.15

// core chooses instances. It does no I/O, reads no clock and is not safe for
// concurrent use; Balancer adds locking.
type core struct {
	config    Config
	random    *rand.Rand
	instances []*instanceState
	// eligible holds the instances of this node's region that are not draining, or
	// those of all other regions when it has none.
	eligible []*instanceState
	kinds    *kindTable
	hedges   hedgeLimit
	// levelProbe limits the calls that are sent although every instance is known to shed
	// them. It does not limit the probes of ejected instances.
	levelProbe levelProbe
	// ejectedCount is the number of eligible instances that are ejected: counted at
	// evaluatedAt, less those whose ejection has ended since.
	ejectedCount int
	// evaluatedAt is when the instances were last compared to find stragglers, or the zero
	// time when eligible has been rebuilt since.
	evaluatedAt time.Time
	// roundRobinPosition counts the instances that pickRoundRobin has considered so far,
	// chosen or skipped.
	roundRobinPosition uint64
	// nonIdempotentFraction is the fraction of recent picks, hedges and new attempts
	// included, that are for non-idempotent calls.
	nonIdempotentFraction float64
	// admitting, ramped, local and reliable are slices that pick reuses between calls.
	admitting, ramped, local, reliable []*instanceState
}

func newCore(config Config, random *rand.Rand) *core {
	return &core{config: config, random: random, kinds: newKindTable()}
}

func (c *core) configure(config Config) {
	c.config = config
	c.rebuildEligible()
}

func (c *core) setInstances(now time.Time, all []Instance) {
	previous := make(map[string]*instanceState, len(c.instances))
	for _, s := range c.instances {
		previous[s.ID] = s
	}
	c.instances = make([]*instanceState, 0, len(all))
	for _, i := range all {
		s, ok := previous[i.ID]
		if !ok || s.Incarnation != i.Incarnation {
			s = newInstanceState(now, i)
		}
		s.Instance = i
		c.instances = append(c.instances, s)
	}
	c.rebuildEligible()
}

// rebuildEligible sets eligible and resets evaluatedAt, so that the next
// evaluateStragglers compares the instances immediately.
func (c *core) rebuildEligible() {
	var sameRegion, otherRegions []*instanceState
	for _, s := range c.instances {
		switch {
		case s.Draining:
		case s.Region == c.config.Region:
			sameRegion = append(sameRegion, s)
		default:
			otherRegions = append(otherRegions, s)
		}
	}
	c.eligible = sameRegion
	if len(sameRegion) == 0 {
		c.eligible = otherRegions
	}
	c.evaluatedAt = time.Time{}
}

// eligibleCount returns the number of eligible instances, ejected ones included, whose
// IDs are not in exclude.
func (c *core) eligibleCount(exclude []string) int {
	n := 0
	for _, s := range c.eligible {
		if !slices.Contains(exclude, s.ID) {
			n++
		}
	}
	return n
}

// pick chooses the instance. The first attempt of a call, which is a request without
// exclusions that is not a hedge, adds to the number of hedges allowed. A hedge uses one
// of them up even when no instance can be picked.
func (c *core) pick(now time.Time, r PickRequest) (Choice, error) {
	if r.Hedge && !c.hedges.take() {
		return Choice{}, resultcode.New(resultcode.Overloaded, "hedges have reached their limit of 1 %% of the calls")
	}
	if !r.Hedge && len(r.Exclude) == 0 {
		c.hedges.addCall()
	}
	if c.config.RoundRobin {
		return c.pickRoundRobin(now, r)
	}
	c.evaluateStragglers(now)
	c.nonIdempotentFraction = movingFraction(c.nonIdempotentFraction, nonIdempotentWeight, r.NonIdempotent)
	lowest := c.collectAdmitting(now, r)
	if lowest == nil {
		return Choice{}, resultcode.New(resultcode.NoInstance, "no eligible instance is left at which this call has not been attempted")
	}
	if len(c.admitting) == 0 {
		if !c.levelProbe.take(now, r.level()) {
			return Choice{}, resultcode.New(resultcode.Overloaded,
				"all instances shed calls of priority %s at this rank", r.Priority)
		}
		return c.startAttempt(now, r, lowest, false), nil
	}
	if r.PreferLowestLevel {
		if reliable := c.mostReliable(now, r, c.admitting); len(reliable) > 0 {
			c.admitting = append(c.admitting[:0], reliable...)
		}
		return c.startAttempt(now, r, c.pickLowestLevel(now, r.Kind), false), nil
	}
	if s := c.takeProbeTarget(now, r); s != nil {
		return c.startAttempt(now, r, s, true), nil
	}
	return c.startAttempt(now, r, c.pickByCost(now, r), false), nil
}

// collectAdmitting fills admitting with the eligible instances that the request does not
// exclude and that are not known to shed it. It returns the instance with the lowest
// known level among those not excluded, or nil when the request excludes all of them.
func (c *core) collectAdmitting(now time.Time, r PickRequest) *instanceState {
	c.admitting = c.admitting[:0]
	own := r.level()
	var lowest *instanceState
	var lowestLevel admission.Level
	for _, s := range c.eligible {
		if len(r.Exclude) > 0 && slices.Contains(r.Exclude, s.ID) {
			continue
		}
		level := s.knownLevel(now)
		if lowest == nil || level.Below(lowestLevel) {
			lowest, lowestLevel = s, level
		}
		if !own.Below(level) {
			c.admitting = append(c.admitting, s)
		}
	}
	return lowest
}

// pickLowestLevel returns the admitting instance with the lowest known level, and the
// cheapest one at equal levels. Ejected instances come last.
func (c *core) pickLowestLevel(now time.Time, kind string) *instanceState {
	best := c.admitting[0]
	for _, s := range c.admitting[1:] {
		if c.preferByLevel(now, kind, s, best) {
			best = s
		}
	}
	return best
}

// preferByLevel reports whether pickLowestLevel prefers a to b.
func (c *core) preferByLevel(now time.Time, kind string, a, b *instanceState) bool {
	if a.ejected != b.ejected {
		return b.ejected
	}
	la, lb := a.knownLevel(now), b.knownLevel(now)
	if la != lb {
		return la.Below(lb)
	}
	return c.cheaper(now, kind, a, b)
}

// pickByCost picks an instance from admitting by powerOfTwoChoices. As long as other
// instances remain, it leaves out ejected instances, and includes an instance that is
// still ramping up only with a probability equal to its ramp fraction. Among the
// remaining instances it prefers reliable ones, then those in the local failure domain.
func (c *core) pickByCost(now time.Time, r PickRequest) *instanceState {
	c.ramped = c.ramped[:0]
	usable := 0
	for _, s := range c.admitting {
		if s.ejected {
			continue
		}
		c.admitting[usable] = s
		usable++
		fraction := s.rampFraction(now, c.config.RampUp)
		if fraction >= 1 || c.random.Float64() < fraction {
			c.ramped = append(c.ramped, s)
		}
	}
	candidates := c.ramped
	if len(candidates) == 0 {
		candidates = c.admitting[:usable]
	}
	if len(candidates) == 0 {
		// Only ejected instances admit the call.
		candidates = c.admitting
	}
	if reliable := c.mostReliable(now, r, candidates); len(reliable) > 0 {
		candidates = reliable
	}
	if local := c.localWithCapacity(now, candidates); len(local) > 0 {
		candidates = local
	}
	return c.powerOfTwoChoices(now, r.Kind, candidates)
}

// localWithCapacity returns the candidates in this node's failure domain whose cost is
// below LocalCostLimit. They are preferred because traffic between failure domains is
// charged for.
func (c *core) localWithCapacity(now time.Time, candidates []*instanceState) []*instanceState {
	c.local = c.local[:0]
	if c.config.LocalCostLimit == 0 {
		return nil
	}
	for _, s := range candidates {
		if s.FailureDomain == c.config.FailureDomain && s.cost(now) < c.config.LocalCostLimit {
			c.local = append(c.local, s)
		}
	}
	return c.local
}

// powerOfTwoChoices takes the cheaper of two random candidates. If another call would be
// queued there, it returns the cheapest of all candidates instead.
func (c *core) powerOfTwoChoices(now time.Time, kind string, candidates []*instanceState) *instanceState {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := c.random.IntN(len(candidates))
	j := c.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	a, b := candidates[i], candidates[j]
	if c.cheaper(now, kind, b, a) {
		a = b
	}
	if !a.queueing(now) {
		return a
	}
	return c.cheapest(now, kind, candidates)
}

// cheapest returns the candidate with the lowest cost. It is used when calls queue at the
// cheaper of the two random candidates: a call that is refused deep in a chain of nested
// calls has no moves left, so a shorter queue is worth the comparison of all candidates.
func (c *core) cheapest(now time.Time, kind string, candidates []*instanceState) *instanceState {
	best := candidates[0]
	for _, s := range candidates[1:] {
		if c.cheaper(now, kind, s, best) {
			best = s
		}
	}
	return best
}

// cheaper reports whether a is a better choice than b for a call of a kind. Instances that take about
// equally long are compared by their load, which shows a difference sooner than latencies do.
func (c *core) cheaper(now time.Time, kind string, a, b *instanceState) bool {
	if c.config.LearnedCapacity {
		x, y := a.finishTime(now, kind), b.finishTime(now, kind)
		if max(x, y) >= distinctFinish*min(x, y) {
			return x < y
		}
	}
	return a.cost(now) < b.cost(now)
}

// pickRoundRobin picks the eligible instances in turn, without regard to their latencies
// and loads.
func (c *core) pickRoundRobin(now time.Time, r PickRequest) (Choice, error) {
	for range c.eligible {
		s := c.eligible[c.roundRobinPosition%uint64(len(c.eligible))]
		c.roundRobinPosition++
		if !slices.Contains(r.Exclude, s.ID) {
			return c.startAttempt(now, r, s, false), nil
		}
	}
	return Choice{}, resultcode.New(resultcode.NoInstance, "no eligible instance is left at which this call has not been attempted")
}

// startAttempt counts an attempt at the instance and returns the choice for it.
func (c *core) startAttempt(now time.Time, r PickRequest, s *instanceState, probe bool) Choice {
	expected := c.kinds.get(now, r.Kind).mean
	s.startCall(now, expected)
	if probe {
		s.probesInFlight++
	}
	return Choice{Instance: s.Instance, Kind: r.Kind, Started: now, state: s, expected: expected, probe: probe}
}

// done applies the outcome of an attempt to the state of its instance and kind. It
// ignores a choice that no pick returned.
func (c *core) done(now time.Time, choice Choice, f Feedback) {
	s := choice.state
	if s == nil {
		return
	}
	s.finishCall(choice)
	if choice.probe {
		s.probesInFlight--
	}
	if f.Load != nil {
		s.observeLoad(now, *f.Load)
		if c.config.LearnedCapacity {
			s.usableSlots = max(1, f.Load.Slots)
		}
	}
	if lost, known := lostResponse(f); known {
		s.losses.observe(now, lost)
	}
	kind := c.kinds.get(now, choice.Kind)
	ratio, ok := latencyRatio(kind, f)
	if ok {
		s.observeRatio(now, ratio)
		c.recordProbe(now, s, ratio)
	}
	if isSuccess(f) {
		if kind.samples > 0 {
			s.speed.observe(now, choice.Kind, f.Latency, kind.logMean)
		}
		kind.add(now, f.Latency)
	}
}

// minErrorRatio is the lowest latency ratio recorded for an error. An instance that
// fails immediately would otherwise look fast and attract more calls.
const minErrorRatio = 5.0

// latencyRatio returns the attempt's latency divided by the mean latency of its kind, or
// 1 when that mean is not known. For an error the ratio is at least minErrorRatio. It
// returns false when the outcome says nothing about the instance's speed.
func latencyRatio(kind *kindStats, f Feedback) (float64, bool) {
	ratio := 1.0
	if kind.mean > 0 {
		ratio = f.Latency.Seconds() / kind.mean
	}
	switch f.Code {
	case resultcode.Overloaded, resultcode.DeadlineInsufficient, resultcode.Draining, resultcode.UnknownCredential:
		// A refusal is quick whatever the instance's speed, so its latency says nothing;
		// overload shows in the instance's level instead.
		return 0, false
	case resultcode.CallerGone:
		// The call was cancelled: the latency so far is a lower bound.
		return ratio, ratio > 1
	}
	if f.Failed || f.Code == resultcode.UpstreamUnreachable || f.Code == resultcode.ConnectionLost ||
		f.Code == resultcode.DeadlineExceeded || f.Code == resultcode.AnswerMismatch {
		return max(ratio, minErrorRatio), true
	}
	if !isSuccess(f) {
		return 0, false
	}
	return ratio, !math.IsNaN(ratio)
}

// isSuccess reports whether the upstream ran the call and returned a successful response.
func isSuccess(f Feedback) bool {
	return f.Code == resultcode.OK && f.Execution == resultcode.Run && !f.Failed
}
