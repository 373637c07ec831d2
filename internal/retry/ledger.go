// Package retry keeps the extra attempts of a root request within its allowance
// and decides whether a failed attempt is followed by another.
package retry

import (
	"sync"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/invariant"
)

// Ledger holds the allowance left to each attempt that runs at the upstream
// beside this node. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[uuid.UUID]*ledgerEntry
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[uuid.UUID]*ledgerEntry)}
}

// Open starts the account of an attempt. Every Open is followed by one Close.
func (l *Ledger) Open(attempt uuid.UUID, a call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.accounts[attempt]
	if !invariant.Check(!open, "ledger attempt opened once", "attempt %s", attempt) {
		return
	}
	l.accounts[attempt] = newLedgerEntry(a)
}

// Reserve moves half of what is left, rounded up, to a child call. It is zero for
// an unknown parent. Until Return it counts as spent.
func (l *Ledger) Reserve(parent uuid.UUID) call.Allowance {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.accounts[parent]
	if !ok {
		return call.Allowance{}
	}
	return e.take()
}

// Refund gives back what a child call did not spend. A child that reports more
// than it took counts as having spent what it took. After Close it has no effect.
func (l *Ledger) Refund(parent uuid.UUID, taken, spent call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.accounts[parent]; ok {
		e.giveBack(taken, spent)
	}
}

// Forfeit spends the retries that are left to an attempt, because a call below it
// was finally shed. Another attempt would meet the same overload, and the Spent
// trailer shows the callers above that no retry is left here.
func (l *Ledger) Forfeit(attempt uuid.UUID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.accounts[attempt]; ok {
		e.forfeit()
	}
}

// Close ends the account and returns what was spent, with shares still out
// counted as spent.
func (l *Ledger) Close(attempt uuid.UUID) (spent call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.accounts[attempt]
	if !ok {
		return call.Allowance{}
	}
	delete(l.accounts, attempt)
	return e.spent.Plus(e.out)
}

// Len returns the number of open accounts, one for each running attempt.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}
