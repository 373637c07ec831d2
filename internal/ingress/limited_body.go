package ingress

import (
	"io"
	"sync/atomic"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// limitedBody is a request body whose reads fail with BodyTooLarge once more than limit
// bytes were read from the source. Only a body of unknown length can exceed the limit;
// others are refused before they are read.
type limitedBody struct {
	source io.Reader
	limit  int64
	// remaining is the number of bytes that may still be read, negative once the limit
	// was exceeded.
	remaining atomic.Int64
}

func newLimitedBody(source io.Reader, limit int64) *limitedBody {
	b := &limitedBody{source: source, limit: limit}
	b.remaining.Store(limit)
	return b
}

// Read reads from the source. An error of the source other than io.EOF becomes
// CallerGone.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	remaining := b.remaining.Add(-int64(n))
	if remaining < 0 {
		return 0, resultcode.New(resultcode.BodyTooLarge, "body exceeds %d bytes", b.limit)
	}
	if err != nil && err != io.EOF {
		return n, resultcode.Wrap(err, resultcode.CallerGone, "the caller's request body ended early")
	}
	return n, err
}
