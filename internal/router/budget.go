package router

import "github.com/mustardwing/mustardwing/internal/call"

// reserve is kept back from what an attempt may spend below itself: when the
// attempt's connection is lost, all that was passed counts as spent, and the
// call could not be tried again.
var reserve = call.Allowance{Retries: 1, Moves: 1}

// baselineRetries is the number of retries at each hop without the policy.
const baselineRetries = 3

// budget accounts for the allowance of one call and everything below it.
type budget struct {
	left, spent call.Allowance
	baseline    bool
	// repeats counts further attempts under the baseline.
	repeats int
}

// pass takes the share of one attempt for the calls below it.
func (b *budget) pass() call.Allowance {
	share := b.left.Minus(reserve)
	b.left = b.left.Minus(share)
	return share
}

// settle gives back what an attempt did not spend of its share.
func (b *budget) settle(passed, spent call.Allowance) {
	b.left = b.left.Plus(passed.Minus(spent))
	b.spent = b.spent.Plus(spent)
}

// affords reports whether the next attempt can be paid for.
func (b *budget) affords(d decision) bool {
	switch {
	case b.baseline:
		return b.repeats < baselineRetries
	case d == move:
		return b.left.Moves > 0
	}
	return b.left.Retries > 0
}

// refund takes back a payment for an attempt that was not made.
func (b *budget) refund(d decision) {
	if b.baseline || d != move {
		return
	}
	cost := call.Allowance{Moves: 1}
	b.left = b.left.Plus(cost)
	b.spent = b.spent.Minus(cost)
}

// pay spends one move, or one retry for a retry or a hedge.
func (b *budget) pay(d decision) {
	if b.baseline {
		b.repeats++
		return
	}
	cost := call.Allowance{Retries: 1}
	if d == move {
		cost = call.Allowance{Moves: 1}
	}
	b.left = b.left.Minus(cost)
	b.spent = b.spent.Plus(cost)
}
