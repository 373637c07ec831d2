// Package retry keeps the retries, moves and hedges of a root request within its
// allowance and decides whether a failed attempt is followed by another one.
package retry

import (
	"sync"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/invariant"
)

// Ledger holds the allowance left to each attempt that the upstream of this node runs
// now. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[uuid.UUID]*ledgerAccount
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[uuid.UUID]*ledgerAccount)}
}

// Open opens an account for an attempt. Every Open must be followed by one Close.
func (l *Ledger) Open(attempt uuid.UUID, a call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.accounts[attempt]
	if !invariant.Check(!open, "ledger attempt opened once", "attempt %s", attempt) {
		return
	}
	l.accounts[attempt] = newLedgerAccount(a)
}

// Reserve reserves half of what is left, rounded up, for a nested call. It is zero for
// an unknown parent call. The share counts as spent until Refund.
func (l *Ledger) Reserve(parent uuid.UUID) call.Allowance {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.accounts[parent]
	if !ok {
		return call.Allowance{}
	}
	return e.reserve()
}

// Refund returns what a nested call did not spend to the account of its parent call.
// reserved is the share from Reserve. A nested call that reports more than that counts as
// having spent its share. Refund has no effect after Close.
func (l *Ledger) Refund(parent uuid.UUID, reserved, spent call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.accounts[parent]; ok {
		e.refund(reserved, spent)
	}
}

// Forfeit spends the retries that are left to an attempt because a nested call of it
// was shed after all moves and retries. A retry would meet the same overload, and the
// Mustardwing-Spent trailer shows the parent calls that no retry is left here.
func (l *Ledger) Forfeit(attempt uuid.UUID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.accounts[attempt]; ok {
		e.forfeit()
	}
}

// Close closes the account and returns what was spent or is still reserved for nested
// calls.
func (l *Ledger) Close(attempt uuid.UUID) (spent call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.accounts[attempt]
	if !ok {
		return call.Allowance{}
	}
	delete(l.accounts, attempt)
	return e.spent.Plus(e.reserved)
}

// Len returns the number of open accounts, one for each attempt that runs.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}
