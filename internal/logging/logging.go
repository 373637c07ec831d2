// Package logging writes structured lines without ever blocking the caller and
// with a bounded number of lines a second.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// queuedLines is the number of lines that wait for a slow reader; further
	// ones replace the oldest and are counted.
	queuedLines = 2000
	// linesPerSecond bounds lines of level info, which requests cause. At a few
	// hundred bytes a line it is some ten kilobytes a second.
	linesPerSecond = 60
)

// NewWriter returns a writer that queues lines for w. Close writes what is queued.
func NewWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, queuedLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped, the reader is slow\"}\n", missed)
	})
}

// New returns a logger of lines with a timestamp. Warnings and errors are always
// written; of the lines of level info at most linesPerSecond in each second.
func New(w io.Writer) zerolog.Logger {
	sampler := &zerolog.LevelSampler{InfoSampler: &zerolog.BurstSampler{Burst: linesPerSecond, Period: time.Second}}
	return zerolog.New(w).With().Timestamp().Logger().Sample(sampler)
}
