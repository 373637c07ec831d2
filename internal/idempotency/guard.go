// Package idempotency makes sure that a non-idempotent call runs at most once,
// whichever nodes and upstream instances its attempts reach. Each such call has an
// idempotency key, and each key one owner among the service's nodes, which permits one
// attempt at a time to run the call.
package idempotency

import (
	"context"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Guard grants and releases the permission to run a non-idempotent call.
type Guard interface {
	// Acquire asks the key's owner for permission. Nil means that this attempt
	// may run now, and that no other attempt may run unless Complete reports
	// NotRun for this one. The errors carry KeyInProgress, KeyCompleted,
	// KeyUnknown, KeyTooOld, OwnerUnavailable or InvalidKey; in each case this
	// attempt was not run.
	Acquire(ctx context.Context, service string, key, attempt uuid.UUID) error
	// Complete reports the outcome of the permitted attempt, with the upstream's
	// HTTP status when it ran. It does not block; it retries in the background.
	Complete(ctx context.Context, service string, key, attempt uuid.UUID, execution resultcode.Execution, status int)
}
