package budget

import (
	"math"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

const (
	// claimTimeConstant is the time constant with which the counts of claims decay.
	claimTimeConstant = time.Second
	// minClaims is the number of recent claims from which their rate is projected; fewer may
	// be chance.
	minClaims = 8
	// backgroundHorizon is the time, in intervals of a window, for which the retries that are
	// left should suffice if a claim of the lowest priority is to be granted. It is shorter by
	// horizonStep for each higher priority: what less important claims leave is for more
	// important ones that may follow.
	backgroundHorizon = intervals
	horizonStep       = intervals / 4
	// remainingClasses is the number of classes by Claim.Remaining within one priority.
	remainingClasses = 6
	claimClasses     = call.PriorityCount * remainingClasses
)

// Claim is a request for a retry.
type Claim struct {
	// Priority and Rank are those of the root request.
	Priority call.Priority
	Rank     uint32
	// Remaining is how many nested calls the parent call still needs, with this one, as far
	// as that is known; otherwise it is one. Each of them may need further retries.
	Remaining int
	// Hedge is set for a second attempt beside one that may still succeed.
	Hedge bool
}

// horizon returns the time for which the retries that are left should suffice, in intervals
// of a window.
func (c Claim) horizon() int {
	return backgroundHorizon - horizonStep*int(min(c.Priority, call.PriorityCount-1))
}

// class returns the position of a claim among the classes, the most important first: by
// priority, then by the number of calls that remain.
func (c Claim) class() int {
	remaining := remainingClasses - 1
	switch {
	case c.Remaining <= 4:
		remaining = max(0, c.Remaining-1)
	case c.Remaining <= 8:
		remaining = 4
	}
	return (call.PriorityCount-1-int(min(c.Priority, call.PriorityCount-1)))*remainingClasses + remaining
}

// claims counts the recent claims of each class, in order to tell which of them the retries
// that are left will suffice for.
type claims struct {
	recent [claimClasses]float64
	at     time.Time
}

func (c *claims) record(now time.Time, class int) {
	factor := math.Exp(-max(0, now.Sub(c.at).Seconds()) / claimTimeConstant.Seconds())
	for i := range c.recent {
		c.recent[i] *= factor
	}
	c.at = now
	c.recent[class]++
}

// admits reports whether the supply, in retries until the end of the horizon, suffices for a
// claim and the claims of that time which precede it. Of the class for which it suffices in
// part, it admits the claims with the highest ranks, so that all calls of a root request are
// treated alike.
func (c *claims) admits(claim Claim, supply float64, horizon time.Duration) bool {
	class := claim.class()
	total, ahead := 0.0, 0.0
	for i, n := range c.recent {
		total += n
		if i < class {
			ahead += n
		}
	}
	if total < minClaims {
		return true
	}
	projection := max(1, horizon.Seconds()/claimTimeConstant.Seconds())
	fraction := (supply - projection*ahead) / (projection * c.recent[class])
	return float64(claim.Rank)/(1<<32) >= 1-fraction
}
