package retry

import (
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/invariant"
)

// ledgerEntry is the account of one running attempt. What is left, out with
// child calls and spent always adds up to what was granted.
type ledgerEntry struct {
	granted, left, out, spent call.Allowance
}

func newLedgerEntry(a call.Allowance) *ledgerEntry {
	return &ledgerEntry{granted: a, left: a}
}

func (e *ledgerEntry) take() call.Allowance {
	share := e.left.Half()
	e.left = e.left.Minus(share)
	e.out = e.out.Plus(share)
	e.check()
	return share
}

func (e *ledgerEntry) giveBack(taken, spent call.Allowance) {
	within := taken.Retries <= e.out.Retries && taken.Moves <= e.out.Moves
	if !invariant.Check(within, "ledger share returned once", "returned %+v, out %+v", taken, e.out) {
		return
	}
	unspent := taken.Minus(spent)
	e.out = e.out.Minus(taken)
	e.left = e.left.Plus(unspent)
	e.spent = e.spent.Plus(taken.Minus(unspent))
	e.check()
}

func (e *ledgerEntry) forfeit() {
	e.spent.Retries += e.left.Retries
	e.left.Retries = 0
	e.check()
}

func (e *ledgerEntry) check() {
	sum := e.left.Plus(e.out).Plus(e.spent)
	invariant.Check(sum == e.granted, "ledger balance", "%+v left, out and spent, want %+v", sum, e.granted)
}
