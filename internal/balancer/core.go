package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// core chooses instances. It does no I/O, reads no clock and is not safe for
// concurrent use; Balancer adds locking.
type core struct {
	config Config
	random *rand.Rand
	all    []*instanceState
	// scope holds the ready instances of the caller's region, or of all regions
	// when it has none.
	scope      []*instanceState
	kinds      *kindTable
	hedges     hedgeLimit
	probe      levelProbe
	setAside   int
	evaluated  time.Time
	roundRobin uint64
	// oncePart is the part of recent calls that are not repeated.
	oncePart float64
	// admitting, ramping, near and sound are scratch space of pick.
	admitting, ramping, near, sound []*instanceState
}

func newCore(config Config, random *rand.Rand) *core {
	return &core{config: config, random: random, kinds: newKindTable()}
}

func (c *core) configure(config Config) {
	c.config = config
	c.rebuildScope()
}

func (c *core) setInstances(now time.Time, all []Instance) {
	known := make(map[string]*instanceState, len(c.all))
	for _, s := range c.all {
		known[s.ID] = s
	}
	c.all = make([]*instanceState, 0, len(all))
	for _, i := range all {
		s, ok := known[i.ID]
		if !ok || s.Incarnation != i.Incarnation {
			s = newInstanceState(now, i)
		}
		s.Instance = i
		c.all = append(c.all, s)
	}
	c.rebuildScope()
}

func (c *core) rebuildScope() {
	var local, remote []*instanceState
	for _, s := range c.all {
		switch {
		case s.Draining:
		case s.Region == c.config.Region:
			local = append(local, s)
		default:
			remote = append(remote, s)
		}
	}
	c.scope = local
	if len(local) == 0 {
		c.scope = remote
	}
	c.evaluated = time.Time{}
}

func (c *core) ready(exclude []string) int {
	n := 0
	for _, s := range c.scope {
		if !slices.Contains(exclude, s.ID) {
			n++
		}
	}
	return n
}

func (c *core) pick(now time.Time, r PickRequest) (Choice, error) {
	if r.Hedge && !c.hedges.take() {
		return Choice{}, resultcode.New(resultcode.Overloaded, "the limit of 1 %% hedges is reached")
	}
	if !r.Hedge && len(r.Exclude) == 0 {
		c.hedges.call()
	}
	if c.config.RoundRobin {
		return c.pickInTurn(now, r)
	}
	c.evaluate(now)
	c.oncePart = withOutcome(c.oncePart, onceWeight, r.NonIdempotent)
	lowest := c.collect(now, r)
	if lowest == nil {
		return Choice{}, resultcode.New(resultcode.NoInstance, "no ready instance that was not tried")
	}
	if len(c.admitting) == 0 {
		if !c.probe.allow(now, r.level()) {
			return Choice{}, resultcode.New(resultcode.Overloaded,
				"all instances shed calls of priority %s and this rank", r.Priority)
		}
		return c.choose(now, r, lowest, false), nil
	}
	if r.LowestLevel {
		if sound := c.reliable(now, r, c.admitting); len(sound) > 0 {
			c.admitting = append(c.admitting[:0], sound...)
		}
		return c.choose(now, r, c.lowestLevel(now), false), nil
	}
	if s := c.probeTarget(now, r); s != nil {
		return c.choose(now, r, s, true), nil
	}
	return c.choose(now, r, c.cheaper(now, r), false), nil
}

// collect fills admitting with the candidates that are not known to shed the
// request, and returns the candidate with the lowest level, nil without any.
func (c *core) collect(now time.Time, r PickRequest) *instanceState {
	c.admitting = c.admitting[:0]
	wanted := r.level()
	var lowest *instanceState
	var lowestLevel admission.Level
	for _, s := range c.scope {
		if len(r.Exclude) > 0 && slices.Contains(r.Exclude, s.ID) {
			continue
		}
		level := s.knownLevel(now)
		if lowest == nil || level.Below(lowestLevel) {
			lowest, lowestLevel = s, level
		}
		if !wanted.Below(level) {
			c.admitting = append(c.admitting, s)
		}
	}
	return lowest
}

// lowestLevel returns the admitting instance with the lowest known level.
// Stragglers come last, then the cost decides.
func (c *core) lowestLevel(now time.Time) *instanceState {
	best := c.admitting[0]
	for _, s := range c.admitting[1:] {
		if c.moveBefore(now, s, best) {
			best = s
		}
	}
	return best
}

func (c *core) moveBefore(now time.Time, a, b *instanceState) bool {
	if a.setAside != b.setAside {
		return b.setAside
	}
	la, lb := a.knownLevel(now), b.knownLevel(now)
	if la != lb {
		return la.Below(lb)
	}
	return a.cost(now) < b.cost(now)
}

// cheaper compares two random candidates. Instances set aside are left out, and
// those that ramp up are considered in proportion to their share, as long as
// others remain.
func (c *core) cheaper(now time.Time, r PickRequest) *instanceState {
	c.ramping = c.ramping[:0]
	usable := 0
	for _, s := range c.admitting {
		if s.setAside {
			continue
		}
		c.admitting[usable] = s
		usable++
		share := s.ramp(now, c.config.RampUp)
		if share >= 1 || c.random.Float64() < share {
			c.ramping = append(c.ramping, s)
		}
	}
	candidates := c.ramping
	if len(candidates) == 0 {
		candidates = c.admitting[:usable]
	}
	if len(candidates) == 0 {
		// Only stragglers admit the call.
		candidates = c.admitting
	}
	if sound := c.reliable(now, r, candidates); len(sound) > 0 {
		candidates = sound
	}
	if local := c.withRoom(now, candidates); len(local) > 0 {
		candidates = local
	}
	return c.twoChoices(now, candidates)
}

// withRoom returns the instances of the caller's failure domain that have room.
// Bytes between failure domains are paid for.
func (c *core) withRoom(now time.Time, candidates []*instanceState) []*instanceState {
	c.near = c.near[:0]
	if c.config.LocalCostLimit == 0 {
		return nil
	}
	for _, s := range candidates {
		if s.FailureDomain == c.config.FailureDomain && s.cost(now) < c.config.LocalCostLimit {
			c.near = append(c.near, s)
		}
	}
	return c.near
}

func (c *core) twoChoices(now time.Time, candidates []*instanceState) *instanceState {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := c.random.IntN(len(candidates))
	j := c.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	a, b := candidates[i], candidates[j]
	if b.cost(now) < a.cost(now) {
		a = b
	}
	if !a.queueing(now) {
		return a
	}
	return cheapest(now, candidates)
}

// cheapest is used when both candidates have a queue. A call that is refused deep
// in a chain has no moves left, so an instance with a shorter queue is worth the
// look at all of them.
func cheapest(now time.Time, candidates []*instanceState) *instanceState {
	best := candidates[0]
	for _, s := range candidates[1:] {
		if s.cost(now) < best.cost(now) {
			best = s
		}
	}
	return best
}

// pickInTurn is the baseline: all ready instances in turn.
func (c *core) pickInTurn(now time.Time, r PickRequest) (Choice, error) {
	for range c.scope {
		s := c.scope[c.roundRobin%uint64(len(c.scope))]
		c.roundRobin++
		if !slices.Contains(r.Exclude, s.ID) {
			return c.choose(now, r, s, false), nil
		}
	}
	return Choice{}, resultcode.New(resultcode.NoInstance, "no ready instance that was not tried")
}

func (c *core) choose(now time.Time, r PickRequest, s *instanceState, probe bool) Choice {
	expected := c.kinds.get(now, r.Kind).mean
	s.started(now, expected)
	if probe {
		s.probing++
	}
	return Choice{Instance: s.Instance, Kind: r.Kind, Started: now, state: s, expected: expected, probe: probe}
}

// done takes in the result of an attempt.
func (c *core) done(now time.Time, choice Choice, f Feedback) {
	s := choice.state
	if s == nil {
		return
	}
	s.stopped(choice)
	if choice.probe {
		s.probing--
	}
	if f.Load != nil {
		s.reported(now, *f.Load)
	}
	if lost, known := lostAnswer(f); known {
		s.losses.observe(now, lost)
	}
	kind := c.kinds.get(now, choice.Kind)
	ratio, ok := latencyRatio(kind, f)
	if ok {
		s.measured(now, ratio)
		c.probed(now, s, ratio)
	}
	if isAnswer(f) {
		kind.add(now, f.Latency)
	}
}

// errorRatio is the least latency ratio of an error: one that came back at once
// must not draw more calls.
const errorRatio = 5.0

// latencyRatio returns the attempt's latency relative to that of its kind, and
// false when the attempt says nothing about the instance's speed.
func latencyRatio(kind *kindStats, f Feedback) (float64, bool) {
	ratio := 1.0
	if kind.mean > 0 {
		ratio = f.Latency.Seconds() / kind.mean
	}
	switch f.Code {
	case resultcode.Overloaded, resultcode.DeadlineInsufficient, resultcode.Draining:
		// A refusal shows in the level; it is quick whatever the instance's speed.
		return 0, false
	case resultcode.CallerGone:
		// Cancelled: the latency so far is a lower bound.
		return ratio, ratio > 1
	}
	if f.Failed || f.Code == resultcode.UpstreamUnreachable || f.Code == resultcode.ConnectionLost ||
		f.Code == resultcode.DeadlineExceeded || f.Code == resultcode.AnswerMismatch {
		return max(ratio, errorRatio), true
	}
	if !isAnswer(f) {
		return 0, false
	}
	return ratio, !math.IsNaN(ratio)
}

// isAnswer reports whether the upstream ran the call and answered it.
func isAnswer(f Feedback) bool {
	return f.Code == resultcode.OK && f.Execution == resultcode.Run && !f.Failed
}
