// Package settings implements the settings tree that operators edit: overrides of the
// built-in defaults for the whole fleet (the default scope), a region, a service and a
// call kind. Each level inherits the fields that it does not override from the level
// above.
package settings

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Idempotence determines whether calls are idempotent.
type Idempotence string

// Values of the idempotent field.
const (
	// IdempotentAuto treats GET, HEAD and OPTIONS as idempotent.
	IdempotentAuto Idempotence = "auto"
	IdempotentYes  Idempotence = "yes"
	IdempotentNo   Idempotence = "no"
)

// Values are the settings in force for one path of the tree.
type Values struct {
	// Priority is the priority of a root request that does not ask for a lower one.
	Priority   call.Priority
	Idempotent Idempotence
	// Timeout bounds the whole root request, nested calls included.
	Timeout time.Duration
	// Retries and Moves are the root request's allowance for its whole tree of
	// calls. Hedges are charged to Retries.
	Retries, Moves int
	// Hedge allows a second attempt at an idempotent call while a slow first one still
	// runs.
	Hedge bool
	// QueuePerSlot is the maximum length of an instance's queue as a multiple of its
	// slots; 0 turns the queue off.
	QueuePerSlot float64
	// QueueTimeout is the longest time in the queue before a call is shed.
	QueueTimeout time.Duration
	// LongFraction is the fraction of an instance's slots that kinds with long
	// service times may hold together. It is the setting long_share.
	LongFraction float64
	// LearnedCapacity is whether the node beside an instance learns how many calls it takes
	// well, and callers choose by the speed of an instance.
	LearnedCapacity bool
	// StragglerFraction is the largest fraction of a service's instances that may be
	// ejected as stragglers at a time. It is the setting straggler_share.
	StragglerFraction float64
	// RampUp is the time over which a new instance's share of the calls grows to
	// that of the others; 0 gives it a full share immediately.
	RampUp time.Duration
	// MaxBodyBytes is the largest request body that is accepted.
	MaxBodyBytes int64
	// KeyWindow is how long idempotency keys are remembered.
	KeyWindow time.Duration
	// IsolationLimit is how long ownership of idempotency keys stays valid while the
	// platform is unavailable.
	IsolationLimit time.Duration
}

// Defaults returns the built-in defaults.
func Defaults() Values {
	return Values{
		Priority:          call.Normal,
		Idempotent:        IdempotentAuto,
		Timeout:           10 * time.Second,
		Retries:           3,
		Moves:             6,
		Hedge:             true,
		QueuePerSlot:      1,
		QueueTimeout:      250 * time.Millisecond,
		LongFraction:      0.5,
		StragglerFraction: 0.34,
		RampUp:            10 * time.Second,
		MaxBodyBytes:      1 << 30,
		KeyWindow:         10 * time.Minute,
		IsolationLimit:    time.Hour,
	}
}
