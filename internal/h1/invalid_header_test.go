package h1

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/responsecheck/responsechecktest"
)

// Guards against a response whose header is not valid and that is returned, with a line that another
// parser reads otherwise or with another body than the upstream sent.
func TestInvalidHeaderIsNoResponse(t *testing.T) {
	for _, r := range responsechecktest.InvalidFields() {
		response, err := receiveBytes(strings.ReplaceAll(r.Bytes, responsechecktest.Identity, "X-Id: 1\r\n"))
		var failure *SendError
		assert.Assert(t, errors.As(err, &failure) && failure.Sent && !failure.DeadlineExceeded(), "%s: %+v, %v", r.Name, response, err)
	}
	for _, r := range responsechecktest.Valid() {
		response, err := receiveBytes(strings.ReplaceAll(r.Bytes, responsechecktest.Identity, "X-Id: 1\r\n"))
		assert.NilError(t, err, r.Name)
		assert.Equal(t, string(response.Body), "body", r.Name)
	}
}
