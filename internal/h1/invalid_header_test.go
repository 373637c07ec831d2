package h1

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/responsecheck/responsechecktest"
)

// Guards against a status that is none and that is taken for an interim one, so that the call waits for
// its timeout.
func TestInvalidStatusIsNotWaitedOn(t *testing.T) {
	for _, r := range responsechecktest.InvalidStatuses() {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			p := testPool(t, scriptedServer(t, func(c net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(c, strings.ReplaceAll(r.Bytes, responsechecktest.Identity, "X-Id: 1\r\n"))
				time.Sleep(testTimeout)
			}))
			started := time.Now()
			response, err := do(p, request("1"))
			assert.Assert(t, err != nil && time.Since(started) < testTimeout/2, "%+v after %s", response, time.Since(started))
		})
	}
}

// Guards against a response whose header is not valid and that is returned, with a line that another
// parser reads otherwise or with another body than the upstream sent.
func TestInvalidHeaderIsNoResponse(t *testing.T) {
	for _, r := range responsechecktest.All() {
		response, err := receiveBytes(strings.ReplaceAll(r.Bytes, responsechecktest.Identity, "X-Id: 1\r\n"))
		if r.Valid {
			assert.Assert(t, err == nil && string(response.Body) == "body", "%s: %+v, %v", r.Name, response, err)
			continue
		}
		var failure *SendError
		assert.Assert(t, errors.As(err, &failure) && failure.Sent && !failure.DeadlineExceeded(), "%s: %+v, %v", r.Name, response, err)
	}
}
