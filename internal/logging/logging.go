// Package logging writes structured lines without ever blocking the caller and
// with a bounded number of lines a second.
package logging

import (
	"fmt"
	"io"
	"sync"
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
	linesPerSecond = 30
)

// NewWriter returns a writer that queues lines for w. Close writes what is queued.
func NewWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, queuedLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped, the reader is slow\"}\n", missed)
	})
}

// New returns a logger of lines with a timestamp. Warnings and errors are always
// written; of the lines of level info at most linesPerSecond in each second. The
// first line of a second says how many were left out before.
func New(w io.Writer) zerolog.Logger {
	plain := zerolog.New(w).With().Timestamp().Logger()
	return plain.Sample(&zerolog.LevelSampler{InfoSampler: &boundedSampler{report: plain}})
}

// boundedSampler lets a number of lines pass each second and counts the others.
type boundedSampler struct {
	report zerolog.Logger

	mu      sync.Mutex
	second  time.Time
	lines   int
	dropped int
}

// Sample implements zerolog.Sampler.
func (s *boundedSampler) Sample(zerolog.Level) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.second) >= time.Second {
		if s.dropped > 0 {
			s.report.Warn().Int("lines", s.dropped).Msg("log lines left out, more than the bound in a second")
		}
		s.second, s.lines, s.dropped = now, 0, 0
	}
	if s.lines >= linesPerSecond {
		s.dropped++
		return false
	}
	s.lines++
	return true
}
