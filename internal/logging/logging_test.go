package logging

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log volume that grows with the load, and against info lines that are
// dropped without being counted. Errors are not limited.
func TestLinesAreBoundedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := New(&out)
		for range 1000 {
			log.Info().Msg("request")
		}
		log.Error().Msg("always written")
		time.Sleep(2 * time.Second)
		log.Info().Msg("next second")
		text := out.String()
		assert.Equal(t, strings.Count(text, `"request"`), maxInfoLinesPerSecond)
		assert.Equal(t, strings.Count(text, "always written"), 1)
		assert.Equal(t, strings.Count(text, `"lines":970`), 1)
	})
}

// blockedWriter is a writer whose Write never returns.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Guards against a request that waits for a slow reader of the log, because logging
// blocks until the line is written.
func TestSlowReaderDoesNotBlockLogging(t *testing.T) {
	log := New(NewWriter(blockedWriter{}))
	start := time.Now()
	for range 10_000 {
		log.Error().Msg("line")
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
}
