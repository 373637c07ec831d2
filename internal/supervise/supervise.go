// Package supervise keeps an unexpected error in one piece of background work from ending the
// whole process. Every package that starts goroutines beside those of a request uses it.
package supervise

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
)

// restartPause is the time between a panic in a loop and its restart, so that an error that comes
// again at once takes little processor time.
const restartPause = time.Second

// Once runs f and returns whether it returned without a panic, which is logged.
func Once(log zerolog.Logger, work string, f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			log.Error().Str("work", work).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("panic in background work")
		}
	}()
	f()
	return true
}

// Loop runs f, which returns when ctx ends, and runs it again after a panic.
func Loop(ctx context.Context, log zerolog.Logger, work string, f func()) {
	for !Once(log, work, f) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartPause):
		}
	}
}
