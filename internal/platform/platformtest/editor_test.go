package platformtest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

func editor(s platform.Store) *platform.Editor {
	return &platform.Editor{Store: s, WriteID: func(v []byte) string { return string(v) }}
}

func write(ifVersion int64, id string) platform.Write {
	return platform.Write{Key: "k", IfVersion: ifVersion, Value: []byte(id), ID: id}
}

// Guards against a writer that attributes its own write to another writer, or the
// reverse, after the response to its write was lost.
func TestEditorRecognisesItsOwnWrite(t *testing.T) {
	ctx := context.Background()
	s := New(1)
	e := editor(s)
	s.SetFaults(Faults{LostResponseFraction: 1})
	outcome, written, err := e.Attempt(ctx, write(0, "mine"))
	assert.NilError(t, err)
	assert.Equal(t, outcome, platform.Applied)
	s.SetFaults(Faults{})
	outcome, _, err = e.Attempt(ctx, write(0, "mine"))
	assert.NilError(t, err)
	assert.Equal(t, outcome, platform.Applied)
	outcome, current, err := e.Attempt(ctx, write(0, "theirs"))
	assert.Equal(t, resultcode.From(err).Code, resultcode.SettingsConflict)
	assert.Equal(t, outcome, platform.Conflicted)
	assert.DeepEqual(t, current, written)
}

// Guards against a writer that takes an unchanged object as proof that its
// write failed: the write may take effect after the object was read back.
func TestUnchangedObjectLeavesWriteUnresolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := New(1)
		e := editor(s)
		s.SetFaults(Faults{LateWriteFraction: 1, LateWriteMs: 3000})
		outcome, _, err := e.Attempt(ctx, write(0, "mine"))
		assert.Equal(t, resultcode.From(err).Code, resultcode.PlatformUnavailable)
		assert.Equal(t, outcome, platform.Unresolved)
		time.Sleep(4 * time.Second)
		outcome, _, err = e.Resolve(ctx, write(0, "mine"))
		assert.NilError(t, err)
		assert.Equal(t, outcome, platform.Applied)
	})
}

// Guards against nodes that continue to call an unavailable platform at their full rate
// instead of backing off, and against an unsent call that is reported as possibly
// effective.
func TestLimitBacksOffAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(1)
		s.SetFaults(Faults{Outage: true})
		l := platform.Limit(s, platform.LimitConfig{Random: func() float64 { return 0.99 }})
		start := time.Now()
		for time.Since(start) < 5*time.Minute {
			_, err := l.Get(context.Background(), "k")
			assert.Equal(t, resultcode.From(err).Code, resultcode.PlatformUnavailable)
		}
		assert.Assert(t, s.Counts().Gets < 18, "%d", s.Counts().Gets)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := l.Update(ctx, "k", 0, nil)
		assert.Equal(t, resultcode.From(err).Execution, resultcode.NotRun)
		assert.Equal(t, s.Counts().Updates, int64(0))
	})
}

// Guards against a single node that uses up the platform's rate limits.
func TestLimitBoundsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(1)
		l := platform.Limit(s, platform.LimitConfig{ReadsPerSecond: 2, Burst: 5})
		start := time.Now()
		for time.Since(start) < time.Minute {
			_, _ = l.Get(context.Background(), "k")
		}
		assert.Assert(t, s.Counts().Gets <= 2*60+6, "%d", s.Counts().Gets)
	})
}
