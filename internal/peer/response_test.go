package peer

import (
	"net/http"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Guards against a response of a node with a status that is none, which HTTP/2 carries as well, and whose
// outcome is believed.
func TestInvalidStatusOfANodeIsNotBelieved(t *testing.T) {
	m := call.Metadata{RequestID: uuid.Must(uuid.NewV7()), Attempt: uuid.New()}
	for _, status := range []int{0, 99, 101, 103, 600} {
		header := http.Header{
			call.HeaderRequestID: {m.RequestID.String()}, call.HeaderAttempt: {m.Attempt.String()}, call.HeaderCode: {"0"}, call.HeaderRun: {"no"},
		}
		_, failure := newResponse(m, &http.Response{StatusCode: status, Header: header, Body: http.NoBody}, func() {})
		assert.Assert(t, failure != nil, status)
		assert.Equal(t, failure.Code, resultcode.AnswerMismatch)
		assert.Equal(t, failure.Execution, resultcode.Unknown)
	}
}
