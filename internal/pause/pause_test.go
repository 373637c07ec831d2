package pause

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// Guards against a crash of the race detector's runtime, and a pause that outlives its context.
func TestPauseOfNoLength(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			var group sync.WaitGroup
			for range 8 {
				group.Go(func() {
					for range 2000 {
						assert.Check(t, For(t.Context(), 0))
					}
				})
			}
			group.Wait()
		})
	}
	ended, end := context.WithCancel(t.Context())
	end()
	assert.Assert(t, !For(ended, 0) && !For(ended, 1<<40))
}
