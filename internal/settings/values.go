// Package settings holds the operators' settings tree: defaults, and overrides
// for a region, a service and a call kind, each level inheriting what it does
// not change.
package settings

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Idempotence says how a call kind's idempotence is decided.
type Idempotence string

// Values of the idempotent field.
const (
	// IdempotentAuto takes GET, HEAD and OPTIONS as idempotent.
	IdempotentAuto Idempotence = "auto"
	IdempotentYes  Idempotence = "yes"
	IdempotentNo   Idempotence = "no"
)

// Values are the settings in force for one path of the tree.
type Values struct {
	Priority   call.Priority
	Idempotent Idempotence
	// Timeout bounds the whole root request.
	Timeout time.Duration
	// Retries and Moves are the root request's allowance for its whole tree.
	Retries, Moves int
	Hedge          bool
	// QueuePerSlot is the queue's length as a multiple of the slots.
	QueuePerSlot float64
	// QueueTimeout is the longest wait in the queue.
	QueueTimeout time.Duration
	// LongFraction is the part of the slots that long kinds may hold together.
	LongFraction float64
	// StragglerFraction is the part of the instances that may be excluded.
	StragglerFraction float64
	RampUp            time.Duration
	MaxBodyBytes      int64
	// KeyWindow is how long idempotency keys are remembered.
	KeyWindow time.Duration
	// IsolationLimit is how long ownership holds without the platform.
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
