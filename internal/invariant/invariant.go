// Package invariant counts violations of conditions that always hold in a correct
// program and passes them to a hook. A violation is a fault in the program. The daemon's
// hook reports it and the daemon keeps running; PanicOnViolation makes it a panic in
// tests.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Hook is called for every violation. It must not call into the package that reported
// the violation, since that package may hold its locks during the call.
type Hook func(name, detail string)

var (
	count atomic.Uint64
	hook  atomic.Pointer[Hook]
)

// OnViolation sets the hook, replacing the previous one. Nil removes it.
func OnViolation(h Hook) {
	if h == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&h)
}

// PanicOnViolation sets a hook that panics, for tests.
func PanicOnViolation() {
	OnViolation(func(name, detail string) {
		panic("invariant " + name + ": " + detail)
	})
}

// Count returns the number of violations since the start of the process.
func Count() uint64 {
	return count.Load()
}

// Check counts a violation of the named invariant and calls the hook, unless holds is
// true. It returns holds. Format and args give the detail.
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
