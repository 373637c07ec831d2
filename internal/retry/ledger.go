// Package retry keeps the extra attempts of a root request within its allowance
// and decides whether a failed attempt is followed by another.
package retry

import (
	"sync"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Ledger holds the allowance left to each attempt that runs at the upstream
// beside this node. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[uuid.UUID]*account
}

type account struct {
	left, spent call.Allowance
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[uuid.UUID]*account)}
}

// Open starts the account of an attempt.
func (l *Ledger) Open(attempt uuid.UUID, a call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accounts[attempt] = &account{left: a}
}

// Take moves half of what is left, rounded up, to a child call. It is zero for
// an unknown parent. Until Return it counts as spent.
func (l *Ledger) Take(parent uuid.UUID) call.Allowance {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[parent]
	if !ok {
		return call.Allowance{}
	}
	share := a.left.Half()
	a.left = a.left.Minus(share)
	a.spent = a.spent.Plus(share)
	return share
}

// Return gives back what a child call did not spend. A child that reports more
// than it took counts as having spent what it took.
func (l *Ledger) Return(parent uuid.UUID, taken, spent call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[parent]
	if !ok {
		return
	}
	unspent := taken.Minus(spent)
	a.left = a.left.Plus(unspent)
	a.spent = a.spent.Minus(unspent)
}

// Close ends the account and returns what was spent, with shares still out
// counted as spent.
func (l *Ledger) Close(attempt uuid.UUID) (spent call.Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[attempt]
	if !ok {
		return call.Allowance{}
	}
	delete(l.accounts, attempt)
	return a.spent
}
