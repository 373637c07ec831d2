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
	for _, r := range responsechecktest.All() {
		u := announced(t, scriptedUpstream(t, func(e scriptedConn) {
			attempt, _ := e.readRequest()
			e.write(strings.ReplaceAll(r.Bytes, responsechecktest.Identity, call.HeaderRefusedAttempt+": "+attempt+"\r\n"))
		}), true)
		_, run, err := u.Send(t.Context(), metadata(false), request(t, http.MethodPost, "body"))
		wantCode, wantRun := resultcode.AnswerMismatch, resultcode.Unknown
		if r.Valid {
			wantCode, wantRun = resultcode.UpstreamRefused, resultcode.NotRun
		}
		assert.Equal(t, resultcode.From(err).Code, wantCode, "%s: %v", r.Name, err)
		assert.Equal(t, run, wantRun, r.Name)
	}
}
