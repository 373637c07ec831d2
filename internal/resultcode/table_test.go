package resultcode

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a code of a call (1xx to 3xx) whose number and execution outcome
// disagree, and against an unknown outcome after which a caller may retry: callers decide
// from the table whether to retry a request.
func TestHundredsDigitMatchesExecution(t *testing.T) {
	for _, e := range Entries() {
		switch e.Code / 100 {
		case 1:
			assert.Equal(t, e.Execution, NotRun, "%d", e.Code)
		case 2:
			assert.Equal(t, e.Execution, Run, "%d", e.Code)
		case 3:
			assert.Equal(t, e.Execution, Unknown, "%d", e.Code)
			assert.Assert(t, !e.MayRetry, "%d", e.Code)
		}
	}
}

// Guards against two entries with the same number, of which the lookup index would
// keep only one.
func TestCodesAreUnique(t *testing.T) {
	assert.Equal(t, len(byCode), len(Entries()))
}
