package retry

import "github.com/mustardwing/mustardwing/internal/call"

// Account is the allowance of one call across its attempts at the calling node.
// It is not safe for concurrent use. The sum of what its attempts may spend and
// what it has charged never exceeds the total it was created with.
type Account struct {
	left, spent call.Allowance
}

// NewAccount returns an account that may spend total.
func NewAccount(total call.Allowance) *Account {
	return &Account{left: total}
}

// Left returns what an action may still be charged to.
func (a *Account) Left() call.Allowance {
	return a.left
}

// Spent returns what was charged, with shares of attempts that have not reported
// counted as spent. It is what the call reports to its parent.
func (a *Account) Spent() call.Allowance {
	return a.spent
}

// Charge takes the cost of an action or of a hedge. It reports false, and takes
// nothing, when the allowance does not cover it.
func (a *Account) Charge(cost call.Allowance) bool {
	if cost.Retries > a.left.Retries || cost.Moves > a.left.Moves {
		return false
	}
	a.left = a.left.Minus(cost)
	a.spent = a.spent.Plus(cost)
	return true
}

// Reserve takes the share that goes with one attempt in the Allowance header: half,
// rounded up, so that an attempt that is lost without a report leaves something
// for the next.
func (a *Account) Reserve() call.Allowance {
	share := a.left.Half()
	a.left = a.left.Minus(share)
	a.spent = a.spent.Plus(share)
	return share
}

// Refund gives back what the attempt did not spend: spent is the Spent trailer,
// zero for an attempt that was not run. An attempt without a report is not
// settled and counts as having spent its share.
func (a *Account) Refund(sent, spent call.Allowance) {
	unspent := sent.Minus(spent)
	a.left = a.left.Plus(unspent)
	a.spent = a.spent.Minus(unspent)
}
