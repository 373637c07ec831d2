package admission

import (
	"math"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

const (
	// childRaise is the part of the way that the level rises towards a call that
	// failed because a call below it was shed. Services shed their lowest calls,
	// so the level belongs above that call, but not far above: steps that did not
	// depend on the distance overshot and left half of the slots idle.
	childRaise = 0.25
	// childMinRaise is the least step up and childLower the step down for a call
	// that succeeds, in units of the usual distance of calls above the level. Their
	// ratio is the part of the calls that fail while the level rests.
	childMinRaise = 0.1
	childLower    = 0.03
	// The usual distance is a mean with the weight childSpreadWeight for one more
	// call. It starts at childSpread and is at least childMinSpread.
	childSpreadWeight = 0.1
	childSpread       = 8.0
	childMinSpread    = 0.05
	// After childQuiet without a failure the level falls by one usual distance per
	// second, doubling every childDoubling, so that it is gone within two seconds
	// after the service below recovered.
	childQuiet    = 600 * time.Millisecond
	childDoubling = 100 * time.Millisecond
	// childProbeInterval is how often a call below the level is run all the same.
	childProbeInterval = 250 * time.Millisecond
)

// childLevel is the level, for one kind, below which calls fail because services
// below this one shed their calls. Refusing them on arrival saves the work that
// would be done here first. It is kept per kind, since other kinds may not need
// the overloaded service.
type childLevel struct {
	// cut is a position; calls below it are refused.
	cut    float64
	spread float64
	// quiet is shared by the kinds of one instance: while calls of any of them
	// fail, the level of none falls by time.
	quiet *quietTime
	// advanced is when cut was last lowered by time.
	advanced time.Time
	probed   time.Time
}

// quietTime notes the last failure of any kind because a call below was shed.
type quietTime struct {
	lastShed time.Time
}

// position places a level on a line on which each priority is levelBuckets long.
func position(l Level) float64 {
	return float64(l.Priority)*levelBuckets + float64(l.Rank)/(1<<levelBucketBits)
}

// refuses reports whether a call is refused on arrival.
func (c *childLevel) refuses(now time.Time, l Level) bool {
	if c.cut == 0 {
		return false
	}
	c.advance(now)
	if position(l) >= c.cut {
		return false
	}
	if now.Sub(c.probed) >= childProbeInterval {
		c.probed = now
		return false
	}
	return true
}

// shed notes a call that failed because a call below it was shed. Calls admitted
// before the level rose above them are already accounted for.
func (c *childLevel) shed(now time.Time, l Level) {
	distance := position(l) - c.cut
	if distance < 0 {
		return
	}
	c.quiet.lastShed = now
	c.advanced = now
	c.observe(distance)
	step := max(childMinRaise*c.spread, childRaise*distance)
	c.cut = min(c.cut+step, call.PriorityCount*levelBuckets)
}

// served notes a call that was run without such a failure.
func (c *childLevel) served(now time.Time, l Level) {
	if c.cut == 0 {
		return
	}
	c.advance(now)
	if distance := position(l) - c.cut; distance >= 0 {
		c.observe(distance)
		c.cut = max(0, c.cut-childLower*c.spread)
	}
}

// observe learns the usual distance. Calls of higher priorities say nothing about
// how densely the calls lie above the level.
func (c *childLevel) observe(distance float64) {
	if c.spread == 0 {
		c.spread = childSpread
	}
	if distance < levelBuckets {
		c.spread += childSpreadWeight * (distance - c.spread)
		c.spread = max(c.spread, childMinSpread)
	}
}

// advance lets the level fall after a quiet time.
func (c *childLevel) advance(now time.Time) {
	quiet := now.Sub(c.quiet.lastShed) - childQuiet
	if quiet > 0 {
		since := max(0, c.advanced.Sub(c.quiet.lastShed)-childQuiet)
		c.cut = max(0, c.cut-c.spread*(fallen(quiet)-fallen(since)))
	}
	c.advanced = now
}

// fallen is the distance the level falls within the time after childQuiet.
func fallen(quiet time.Duration) float64 {
	doublings := min(float64(quiet)/float64(childDoubling), 32)
	return childDoubling.Seconds() / math.Ln2 * (math.Exp2(doublings) - 1)
}
