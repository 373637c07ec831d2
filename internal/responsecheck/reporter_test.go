package responsecheck_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
	"github.com/mustardwing/mustardwing/internal/responsecheck/responsechecktest"
)

// Guards against unusable responses that leave no trace, or whose bytes get into the log.
func TestUnusableResponsesAreReported(t *testing.T) {
	for _, r := range responsechecktest.Invalid() {
		var log bytes.Buffer
		scope := tally.NewTestScope("", nil)
		reporter := responsecheck.Reporter{Log: zerolog.New(&log), Scope: scope}
		_, err := check(r.Bytes, len(r.Bytes))
		reporter.Report(errors.Wrap(err, "exchange"), "1", "i-1")
		reporter.Report(errors.New("connection lost"), "2", "i-1")
		assert.Equal(t, strings.Count(log.String(), "\n"), 1, "%s: %s", r.Name, log.String())
		assert.Assert(t, log.Len() < 300 && !strings.Contains(log.String(), "body"), log.String())
		for _, c := range scope.Snapshot().Counters() {
			assert.Equal(t, c.Value(), int64(1), r.Name)
		}
		assert.Equal(t, len(scope.Snapshot().Counters()), 1)
	}
}
