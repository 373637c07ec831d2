// Package retry keeps the retries, moves and hedges of a root request within its
// allowance and decides whether a failed attempt is followed by another one.
package retry

import (
	"sync"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/invariant"
)

// Ledger keeps an account for each attempt that the upstream of this node runs now. The
// account divides the allowance that was sent with the attempt: it is left, reserved for
// nested calls that have not ended, or spent. A Ledger is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[uuid.UUID]*ledgerAccount
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[uuid.UUID]*ledgerAccount)}
}

// Open opens the account of an attempt, in which all of the granted allowance is left.
// Every Open must be followed by one Close.
func (l *Ledger) Open(attempt uuid.UUID, granted call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.accounts[attempt]
	if !invariant.Check(!open, "ledger attempt opened once", "attempt %s", attempt) {
		return
	}
	l.accounts[attempt] = newLedgerAccount(granted)
}

// Reserve reserves a share of the attempt's allowance for one of its nested calls, half
// of what is left, rounded up, and returns it. The share is zero when the attempt has no
// open account. It counts as spent unless Refund is called for it before Close.
func (l *Ledger) Reserve(attempt uuid.UUID) call.Allowance {
	l.mu.Lock()
	defer l.mu.Unlock()
	account, ok := l.accounts[attempt]
	if !ok {
		return call.Allowance{}
	}
	return account.reserve()
}

// Refund ends the reservation for a nested call of the attempt and returns what the
// nested call did not spend to the attempt's account. reserved is the share from Reserve.
// A nested call that reports more than that counts as having spent its share. Refund has
// no effect after Close.
func (l *Ledger) Refund(attempt uuid.UUID, reserved, spent call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if account, ok := l.accounts[attempt]; ok {
		account.refund(reserved, spent)
	}
}

// Forfeit spends the retries that are left to an attempt because a nested call of it
// was shed after all moves and retries. A retry would meet the same overload. The
// Mustardwing-Spent header or trailer reports these retries as spent, and Decide stops
// after an attempt that spent all its retries. Moves and reserved shares stay. Forfeit has
// no effect after Close.
func (l *Ledger) Forfeit(attempt uuid.UUID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if account, ok := l.accounts[attempt]; ok {
		account.forfeitRetries()
	}
}

// Close closes the attempt's account and returns the part of the allowance that was
// spent or is still reserved for nested calls, which may have spent it. It returns zero
// when the attempt has no open account.
func (l *Ledger) Close(attempt uuid.UUID) (spent call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	account, ok := l.accounts[attempt]
	if !ok {
		return call.Allowance{}
	}
	delete(l.accounts, attempt)
	return account.spent.Plus(account.reserved)
}

// Len returns the number of open accounts.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}
