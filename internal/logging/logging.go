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
	// maxQueuedLines is the number of lines that are queued for a slow reader. Further
	// lines replace the oldest, and the replaced ones are counted.
	maxQueuedLines = 2000
	// maxInfoLinesPerSecond bounds the lines of level info, whose number grows with
	// that of requests. At a few hundred bytes a line, the bound amounts to some ten
	// kilobytes a second.
	maxInfoLinesPerSecond = 30
)

// NewWriter returns a writer that queues lines for w and never blocks. When lines were
// dropped because w was too slow, a warning with their number follows. Close writes
// what is queued and closes w if w is an io.Closer.
func NewWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, maxQueuedLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped, the reader is slow\"}\n", missed)
	})
}

// New returns a logger whose lines have a timestamp. Of the lines of level info it
// writes at most maxInfoLinesPerSecond in each second, of other levels all.
// When lines were dropped, a warning with their number precedes the first info line
// after that second.
func New(w io.Writer) zerolog.Logger {
	plain := zerolog.New(w).With().Timestamp().Logger()
	return plain.Sample(&zerolog.LevelSampler{InfoSampler: &boundedSampler{report: plain}})
}

// boundedSampler admits maxInfoLinesPerSecond lines in each second and counts the
// others.
type boundedSampler struct {
	// report receives the warnings about dropped lines.
	report zerolog.Logger

	mu sync.Mutex
	// secondStart is when the current second began; lines and dropped count the lines
	// admitted and dropped since then.
	secondStart time.Time
	lines       int
	dropped     int
}

// Sample implements zerolog.Sampler.
func (s *boundedSampler) Sample(zerolog.Level) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.secondStart) >= time.Second {
		if s.dropped > 0 {
			s.report.Warn().Int("lines", s.dropped).Msg("log lines dropped, more than the limit per second")
		}
		s.secondStart, s.lines, s.dropped = now, 0, 0
	}
	if s.lines >= maxInfoLinesPerSecond {
		s.dropped++
		return false
	}
	s.lines++
	return true
}
