// Package pause waits in background loops.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns false when the context ends first. Without time to wait it makes no timer:
// the race detector's runtime crashes when goroutines of one synctest bubble select on timers that have
// expired already.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
