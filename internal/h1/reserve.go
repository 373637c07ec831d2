package h1

import (
	"io"
	"sync/atomic"
)

// unreservedBodyBytes is the size up to which a response body needs no reservation, so that
// usual responses are read while large ones fill the account.
const unreservedBodyBytes = 256 << 10

// byteAccount counts reserved bytes up to a limit; with zero there is no limit.
type byteAccount struct {
	limit    int64
	reserved atomic.Int64
}

// reserve reserves n more bytes, or none if the limit does not allow it.
func (a *byteAccount) reserve(n int64) bool {
	if total := a.reserved.Add(n); a.limit > 0 && total > a.limit {
		a.reserved.Add(-n)
		return false
	}
	return true
}

// reservingReader reads a body and reserves the bytes beyond unreservedBodyBytes. It fails with
// errBufferLimit if the account does not allow them.
type reservingReader struct {
	reader   io.ReadCloser
	account  *byteAccount
	read     int64
	reserved int64
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.read += int64(n)
	if missing := r.read - unreservedBodyBytes - r.reserved; missing > 0 {
		if !r.account.reserve(missing) {
			return n, errBufferLimit
		}
		r.reserved += missing
	}
	return n, err
}

// Close implements io.Closer.
func (r *reservingReader) Close() error {
	return r.reader.Close()
}

// release returns what was reserved.
func (r *reservingReader) release() {
	r.account.reserved.Add(-r.reserved)
	r.reserved = 0
}
