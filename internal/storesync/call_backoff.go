package storesync

import (
	"time"

	"github.com/rs/zerolog"
)

// callBackoff computes the exponential backoff of the store calls for one purpose, and
// logs when they begin to fail and when they succeed again.
type callBackoff struct {
	log zerolog.Logger
	// name is the purpose of the calls, for the logs.
	name string
	// failures counts the failed calls since the last success; the first of them was at
	// firstFailure.
	failures     int
	firstFailure time.Time
}

func (b *callBackoff) failed(err error) {
	if b.failures == 0 {
		b.firstFailure = time.Now()
		b.log.Warn().Err(err).Str("for", b.name).Msg("store unavailable")
	}
	b.failures++
}

func (b *callBackoff) succeeded() {
	if b.failures > 0 {
		b.log.Info().Str("for", b.name).Int("failed_calls", b.failures).Dur("after", time.Since(b.firstFailure)).Msg("store available again")
	}
	b.failures = 0
}

// delay returns how long to wait before the next call after a failure.
func (b *callBackoff) delay() time.Duration {
	return min(maxBackoff, minBackoff<<min(b.failures, 8))
}
