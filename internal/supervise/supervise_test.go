package supervise

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against a panic that ends the process, is not logged, or ends the work for good.
func TestLoopContinuesAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log strings.Builder
		runs := 0
		Loop(t.Context(), zerolog.New(&log), "test", func() {
			runs++
			if runs < 3 {
				panic("fault")
			}
		})
		assert.Equal(t, runs, 3)
		assert.Equal(t, strings.Count(log.String(), "panic in background work"), 2)
	})
}
