// Package logging writes structured log lines without blocking the code that logs
// and with a bounded number of lines per second.
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
	// queuedLines is the number of lines that are queued for a slow reader; further
	// ones replace the oldest, and the replaced ones are counted.
	queuedLines = 2000
	// linesPerSecond bounds the lines of level info, whose number grows with that of
	// requests. At a few hundred bytes a line it amounts to some ten kilobytes a
	// second.
	linesPerSecond = 30
)

// NewWriter returns a writer that queues lines for w. Close writes what is queued.
func NewWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, queuedLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped, the reader is slow\"}\n", missed)
	})
}

// New returns a logger whose lines have a timestamp. Warnings and errors are always
// written, and of the lines of level info at most linesPerSecond in each second.
// When lines were dropped, a warning with their number precedes the first info line
// after that second.
func New(w io.Writer) zerolog.Logger {
	plain := zerolog.New(w).With().Timestamp().Logger()
	return plain.Sample(&zerolog.LevelSampler{InfoSampler: &boundedSampler{report: plain}})
}

// boundedSampler admits linesPerSecond lines in each second and counts the others.
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
			s.report.Warn().Int("lines", s.dropped).Msg("log lines dropped, more than the limit per second")
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
