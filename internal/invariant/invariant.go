// Package invariant counts and reports conditions that the program's logic rules
// out. A breach is a fault in the program; the daemon keeps running and reports
// it, tests stop at it.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Hook is called for every breach. It must not call back into the package that
// reported, which may hold its locks.
type Hook func(name, detail string)

var (
	count atomic.Uint64
	hook  atomic.Pointer[Hook]
)

// OnViolation replaces the hook. Nil removes it.
func OnViolation(h Hook) {
	if h == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&h)
}

// PanicOnViolation installs the hook for tests.
func PanicOnViolation() {
	OnViolation(func(name, detail string) {
		panic("invariant " + name + ": " + detail)
	})
}

// Count returns the number of breaches since the start of the process.
func Count() uint64 {
	return count.Load()
}

// Check reports a breach of the named invariant unless it holds.
func Check(holds bool, name, format string, args ...any) bool {
	if holds {
		return true
	}
	count.Add(1)
	if h := hook.Load(); h != nil {
		(*h)(name, fmt.Sprintf(format, args...))
	}
	return false
}
