package storesync

import (
	"time"

	"github.com/rs/zerolog"
)

// dependency logs when calls for one purpose begin to fail and when they succeed
// again, and paces them meanwhile.
type dependency struct {
	log      zerolog.Logger
	name     string
	failures int
	since    time.Time
}

func (d *dependency) failed(err error) {
	if d.failures == 0 {
		d.since = time.Now()
		d.log.Warn().Err(err).Str("for", d.name).Msg("store lost")
	}
	d.failures++
}

func (d *dependency) succeeded() {
	if d.failures > 0 {
		d.log.Info().Str("for", d.name).Int("failed_calls", d.failures).Dur("after", time.Since(d.since)).Msg("store regained")
	}
	d.failures = 0
}

func (d *dependency) pause() time.Duration {
	return min(maxPause, minPause<<min(d.failures, 8))
}
