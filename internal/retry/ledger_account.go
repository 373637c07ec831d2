package retry

import (
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/invariant"
)

// ledgerAccount is the account of one attempt that runs. The sum of left, reserved and
// spent is always granted.
type ledgerAccount struct {
	// granted is the allowance that was sent with the attempt. It is divided into left,
	// which may still be reserved; reserved, which is held for nested calls that have not
	// ended; and spent, which nested calls have spent or the attempt has forfeited.
	granted, left, reserved, spent call.Allowance
}

func newLedgerAccount(a call.Allowance) *ledgerAccount {
	return &ledgerAccount{granted: a, left: a}
}

// reserve reserves half of what is left, rounded up, for a nested call and returns it.
func (a *ledgerAccount) reserve() call.Allowance {
	share := a.left.Half()
	a.left = a.left.Minus(share)
	a.reserved = a.reserved.Plus(share)
	a.check()
	return share
}

// refund ends the reservation of share for a nested call that reports spent, and adds what
// the nested call did not spend to what is left.
func (a *ledgerAccount) refund(share, spent call.Allowance) {
	within := share.Retries <= a.reserved.Retries && share.Moves <= a.reserved.Moves
	if !invariant.Check(within, "ledger share returned once", "refunded share %+v, want at most the reserved %+v", share, a.reserved) {
		return
	}
	unspent := share.Minus(spent)
	a.reserved = a.reserved.Minus(share)
	a.left = a.left.Plus(unspent)
	// A nested call may report more than its share. Minus stops at zero, so that
	// share.Minus(unspent) is spent, but at most share.
	a.spent = a.spent.Plus(share.Minus(unspent))
	a.check()
}

// forfeitRetries counts the retries that are left as spent. Moves stay.
func (a *ledgerAccount) forfeitRetries() {
	a.spent.Retries += a.left.Retries
	a.left.Retries = 0
	a.check()
}

// check checks the invariant that left, reserved and spent add up to granted.
func (a *ledgerAccount) check() {
	sum := a.left.Plus(a.reserved).Plus(a.spent)
	invariant.Check(sum == a.granted, "ledger balance", "sum of left, reserved and spent is %+v, want %+v", sum, a.granted)
}
