package ingress

import (
	"io"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// limitedBody fails once more than the limit was read, which a body of unknown
// length can do.
type limitedBody struct {
	source io.Reader
	limit  int64
	left   int64
}

func newLimitedBody(source io.Reader, limit int64) io.Reader {
	return &limitedBody{source: source, limit: limit, left: limit}
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, resultcode.New(resultcode.BodyTooLarge, "body exceeds %d bytes", b.limit)
	}
	if err != nil && err != io.EOF {
		err = resultcode.Wrap(err, resultcode.CallerGone, "the caller's request body ended early")
	}
	return n, err
}
