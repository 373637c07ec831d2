package responsecheck_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
	"github.com/mustardwing/mustardwing/internal/responsecheck/responsechecktest"
)

// check returns the error of a Head that gets the bytes of a response in parts.
func check(response string, partBytes int) (*responsecheck.Head, error) {
	head := &responsecheck.Head{}
	for len(response) > 0 {
		n := min(partBytes, len(response))
		if err := head.Check([]byte(response[:n])); err != nil {
			return head, err
		}
		response = response[n:]
	}
	return head, nil
}

// Guards against an invalid header that passes because of how its bytes arrive, and against a valid one
// that is refused.
func TestHeadIsCheckedHoweverItArrives(t *testing.T) {
	for _, partBytes := range []int{1, 2, 7, 1 << 10} {
		for _, r := range responsechecktest.Invalid() {
			head, err := check(r.Bytes, partBytes)
			assert.Assert(t, err != nil, "%s: %q", r.Name, r.Bytes)
			assert.Equal(t, head.Check([]byte("HTTP/1.1 200 OK\r\n\r\n")), err)
		}
		for _, r := range responsechecktest.Valid() {
			head, err := check(r.Bytes, partBytes)
			assert.NilError(t, err, "%s: %q", r.Name, r.Bytes)
			assert.Assert(t, head.Completed() > 0)
		}
	}
}
