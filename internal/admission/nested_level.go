package admission

import (
	"math"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

const (
	// When a call fails because one of its nested calls was shed, the level rises by
	// nestedRaiseFraction of the distance to the failed call. Services shed their lowest
	// calls, so the level belongs a little above the failed call; it gets there in several
	// steps, one for each failure. Steps that did not depend on the distance overshot and
	// left half of the slots idle.
	nestedRaiseFraction = 0.25
	// nestedMinRaise is the smallest step up for such a failure and nestedLower the step
	// down for a call that was run without one, both in units of the mean distance of calls
	// above the level. Their ratio determines the fraction of calls that fail while the
	// level is stable.
	nestedMinRaise = 0.1
	nestedLower    = 0.03
	// The mean distance is an exponential moving average in which a new call has the
	// weight nestedDistanceWeight. It starts at nestedInitialDistance and is at least
	// nestedMinDistance.
	nestedDistanceWeight  = 0.1
	nestedInitialDistance = 8.0
	nestedMinDistance     = 0.05
	// After a nestedQuietPeriod in which no call to the instance, whatever its kind, failed
	// because of a shed nested call, the level falls by one mean distance per second. The
	// speed doubles every nestedDecayDoubling, so that the level is zero within two seconds
	// after the called service recovered. Failures of calls below the level of their kind
	// do not count; see lastNestedShed.
	nestedQuietPeriod   = 600 * time.Millisecond
	nestedDecayDoubling = 100 * time.Millisecond
	// nestedProbeInterval is the interval at which one call below the level is
	// admitted nevertheless, as a level probe.
	nestedProbeInterval = 250 * time.Millisecond
)

// nestedLevel is the level, for one kind, below which calls fail because another
// service sheds their nested calls. Refusing these calls on arrival saves the work that
// the upstream would do before its nested calls are shed. Each kind has its own level,
// since other kinds may not need the overloaded service.
type nestedLevel struct {
	// threshold is the level as a position; root requests below it are refused.
	threshold float64
	// meanDistance is the mean distance from threshold to the calls just above it, zero
	// before the first of them.
	meanDistance float64
	// lastShed is shared by the kinds of one instance: a failure of one kind because of a
	// shed nested call delays the decay of the levels of all kinds.
	lastShed *lastNestedShed
	// lastDecay is the time up to which threshold has decayed.
	lastDecay time.Time
	// lastProbe is when a call below threshold was last admitted as a level probe.
	lastProbe time.Time
}

// lastNestedShed is the last time at which a call at or above the level of its kind
// failed because a nested call was shed, whatever the kind.
type lastNestedShed struct {
	at time.Time
}

// position maps a level, or the priority and rank of a call, to a number; each priority
// covers levelBuckets units.
func position(l Level) float64 {
	return float64(l.Priority)*levelBuckets + float64(l.Rank)/(1<<levelBucketBits)
}

// refuses reports whether a call that arrives at now is refused. own is the priority and
// rank of the call. refuses lowers the level with time, and once per nestedProbeInterval
// it admits a call below the level as a level probe.
func (c *nestedLevel) refuses(now time.Time, own Level) bool {
	if c.threshold == 0 {
		return false
	}
	c.decay(now)
	if position(own) >= c.threshold {
		return false
	}
	if now.Sub(c.lastProbe) >= nestedProbeInterval {
		c.lastProbe = now
		return false
	}
	return true
}

// recordShed raises the level for a call that failed because a nested call was
// shed. It ignores calls below the level, which were admitted before the level rose
// above them: the rise already accounts for them. own is the priority and rank of the
// call.
func (c *nestedLevel) recordShed(now time.Time, own Level) {
	distance := position(own) - c.threshold
	if distance < 0 {
		return
	}
	c.lastShed.at = now
	c.lastDecay = now
	c.observeDistance(distance)
	step := max(nestedMinRaise*c.meanDistance, nestedRaiseFraction*distance)
	c.threshold = min(c.threshold+step, call.PriorityCount*levelBuckets)
}

// recordServed lowers the level with time and, when the call is at or above it, by one
// step more. It does nothing while the level is zero. It must be called only for a call
// that was run without a failure caused by a shed nested call. own is the priority and
// rank of the call.
func (c *nestedLevel) recordServed(now time.Time, own Level) {
	if c.threshold == 0 {
		return
	}
	c.decay(now)
	if distance := position(own) - c.threshold; distance >= 0 {
		c.observeDistance(distance)
		c.threshold = max(0, c.threshold-nestedLower*c.meanDistance)
	}
}

// observeDistance updates the mean distance. It ignores calls that are a whole
// priority or more above the level, because they say nothing about how dense the
// calls just above the level are.
func (c *nestedLevel) observeDistance(distance float64) {
	if c.meanDistance == 0 {
		c.meanDistance = nestedInitialDistance
	}
	if distance < levelBuckets {
		c.meanDistance += nestedDistanceWeight * (distance - c.meanDistance)
		c.meanDistance = max(c.meanDistance, nestedMinDistance)
	}
}

// decay lowers the level with time once nestedQuietPeriod has passed since lastShed.
func (c *nestedLevel) decay(now time.Time) {
	elapsed := now.Sub(c.lastShed.at) - nestedQuietPeriod
	if elapsed > 0 {
		// applied is the part of elapsed for which threshold has decayed already.
		applied := max(0, c.lastDecay.Sub(c.lastShed.at)-nestedQuietPeriod)
		c.threshold = max(0, c.threshold-c.meanDistance*(decayedDistance(elapsed)-decayedDistance(applied)))
	}
	c.lastDecay = now
}

// decayedDistance returns how far the level has fallen when the given time has elapsed
// since the end of nestedQuietPeriod, in units of the mean distance.
func decayedDistance(elapsed time.Duration) float64 {
	doublings := min(float64(elapsed)/float64(nestedDecayDoubling), 32)
	return nestedDecayDoubling.Seconds() / math.Ln2 * (math.Exp2(doublings) - 1)
}
