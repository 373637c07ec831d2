package upstream_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/responsecheck/responsechecktest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Guards against a response whose header is not valid and that is returned, or that is taken for a
// rejection before any work.
func TestInvalidHeaderIsNoResponse(t *testing.T) {
	send := func(r responsechecktest.Response) (resultcode.Execution, error) {
		u := announced(t, scriptedUpstream(t, func(e scriptedConn) {
			attempt, _ := e.readRequest()
			e.write(strings.ReplaceAll(r.Bytes, responsechecktest.Identity, call.HeaderRefusedAttempt+": "+attempt+"\r\n"))
		}), true)
		_, run, err := u.Send(t.Context(), metadata(false), request(t, http.MethodPost, "body"))
		return run, err
	}
	for _, r := range responsechecktest.Invalid() {
		run, err := send(r)
		assert.Equal(t, resultcode.From(err).Code, resultcode.AnswerMismatch, "%s: %v", r.Name, err)
		assert.Equal(t, run, resultcode.Unknown, r.Name)
	}
	for _, r := range responsechecktest.Valid() {
		_, err := send(r)
		assert.Equal(t, resultcode.From(err).Code, resultcode.UpstreamRefused, "%s: %v", r.Name, err)
	}
}
