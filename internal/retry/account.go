package retry

import "github.com/mustardwing/mustardwing/internal/call"

// Account is the allowance of one call, which its attempts share. The calling node keeps
// it. It is not safe for concurrent use. The sum of what its attempts may spend and what
// was charged never exceeds the total that it was created with.
type Account struct {
	// left may still be charged or reserved. spent was charged or reserved and not
	// refunded.
	left, spent call.Allowance
}

// NewAccount returns an account that may spend total.
func NewAccount(total call.Allowance) *Account {
	return &Account{left: total}
}

// Left returns the allowance that is left for retries, moves, hedges and the nested calls
// of new attempts.
func (a *Account) Left() call.Allowance {
	return a.left
}

// Spent returns what was charged or reserved and not refunded. It is what the call
// reports to its parent call.
func (a *Account) Spent() call.Allowance {
	return a.spent
}

// Charge spends the cost of an action or of a hedge. It reports false and spends
// nothing when the allowance does not cover the cost.
func (a *Account) Charge(cost call.Allowance) bool {
	if cost.Retries > a.left.Retries || cost.Moves > a.left.Moves {
		return false
	}
	a.left = a.left.Minus(cost)
	a.spent = a.spent.Plus(cost)
	return true
}

// Reserve reserves the share that is sent with one attempt in the
// Mustardwing-Allowance header, and returns it: half of what is left, rounded up. An
// attempt whose response is lost thus leaves the rest for the next one.
func (a *Account) Reserve() call.Allowance {
	share := a.left.Half()
	a.left = a.left.Minus(share)
	a.spent = a.spent.Plus(share)
	return share
}

// Refund returns to the account what an attempt did not spend. sent is the share from
// Reserve and spent the value of the Mustardwing-Spent header or trailer, zero for an
// attempt that was not run. It must not be called for an attempt that may have run and
// whose response has neither: that attempt counts as having spent its share.
func (a *Account) Refund(sent, spent call.Allowance) {
	unspent := sent.Minus(spent)
	a.left = a.left.Plus(unspent)
	a.spent = a.spent.Minus(unspent)
}
