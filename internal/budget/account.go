package budget

import (
	"math/rand/v2"
	"time"
)

// account is the state of the retries at one service.
type account struct {
	ledger *ledger
	claims claims
	// accrued is a retry that few first arrivals and the share of the slack add up to, at
	// most one. It is used only in a window without another retry, by a node whose bound for
	// one window is below one retry, and only if the node has drawn the permission for this
	// window.
	accrued   float64
	accruedAt time.Time
	// permitted is the latest draw, drawnAt when it was made.
	permitted bool
	drawnAt   time.Time
	// nested is the moving fraction of the successful calls that made nested calls, runs
	// their number.
	nested   float64
	runs     int
	scarcity scarcity
}

func newAccount(now time.Time, window time.Duration) *account {
	return &account{ledger: newLedger(now, window), accruedAt: now}
}

// advance applies the time since the last operation and the length of the window in force.
// slack is this node's share of the slack per window.
func (a *account) advance(now time.Time, window time.Duration, slack float64) {
	if max(1, window/intervals) != a.ledger.interval {
		a.ledger = a.ledger.resize(now, window)
	}
	a.ledger.advance(now)
	if elapsed := now.Sub(a.accruedAt).Seconds(); elapsed > 0 && window > 0 {
		a.accrued = min(1, a.accrued+elapsed/window.Seconds()*slack)
		a.accruedAt = now
	}
}

func (a *account) recordArrival(ratio float64) {
	a.ledger.at(0).first++
	a.accrued = min(1, a.accrued+ratioFraction*ratio)
}

func (a *account) recordRun(nested bool) {
	a.runs++
	value := 0.0
	if nested {
		value = 1
	}
	a.nested += nestedWeight * (value - a.nested)
}

func (a *account) charge() {
	a.ledger.at(0).retries++
	a.accrued = 0
}

// isLeaf reports whether calls to the service make no nested calls, as far as is known.
func (a *account) isLeaf() bool {
	return a.runs >= leafSamples && a.nested <= maxNested
}

// available returns how many retries Take may grant now.
func (a *account) available(bounds Bounds, slack float64) float64 {
	fraction := ratioFraction
	if a.isLeaf() {
		fraction = leafFraction
	}
	return a.ledger.available(fraction*bounds.Ratio, slack)
}

// mayUseAccrued reports whether the node may use an accrued retry now. All nodes of a fleet may have
// one after a time without failures, so it draws once a window whether it may, with a probability
// that keeps them together within the slack.
func (a *account) mayUseAccrued(now time.Time, window time.Duration, slack float64, random *rand.Rand) bool {
	if a.accrued < 1 || a.ledger.spent() > 0 {
		return false
	}
	if a.drawnAt.IsZero() || now.Sub(a.drawnAt) >= window {
		a.permitted, a.drawnAt = random.Float64() < accruedFraction*slack, now
	}
	return a.permitted
}

// take decides on a claim and counts the retry if it grants one.
func (a *account) take(now time.Time, claim Claim, bounds Bounds, slack float64, random *rand.Rand) bool {
	available := a.available(bounds, slack)
	if claim.Hedge {
		// The part that hedges may use is measured by what is spent, so that they leave the
		// rest to retries after failures.
		spent := a.ledger.spent()
		if available < 1 || spent+1 > hedgeFraction*(spent+available) {
			return false
		}
		a.ledger.at(0).retries++
		return true
	}
	a.claims.record(now, claim.class())
	if available < 1 {
		if !a.mayUseAccrued(now, bounds.Window, slack, random) {
			return false
		}
		a.accrued = 0
		a.ledger.at(0).retries++
		return true
	}
	horizon := claim.horizon()
	if !a.claims.admits(claim, available+a.ledger.expiring(horizon), time.Duration(horizon)*a.ledger.interval) {
		return false
	}
	a.ledger.at(0).retries++
	return true
}
