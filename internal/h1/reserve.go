package h1

import (
	"io"
	"sync/atomic"
)

// maxUnreservedBodyBytes bounds unreservedBodyBytes.
const maxUnreservedBodyBytes = 256 << 10

// unreservedBodyBytes returns the size up to which a response body needs no reservation, so
// that usual responses are read while large ones fill the account. For all exchanges together
// it is half of the account's limit at most.
func unreservedBodyBytes(c PoolConfig) int64 {
	if c.MaxBufferedBytes == 0 || c.MaxExchanges == 0 {
		return maxUnreservedBodyBytes
	}
	return min(maxUnreservedBodyBytes, c.MaxBufferedBytes/2/int64(c.MaxExchanges))
}

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

// reservingReader reads a body and reserves the bytes beyond the first unreserved ones. It
// fails with errBufferLimit if the account does not allow them.
type reservingReader struct {
	reader     io.ReadCloser
	account    *byteAccount
	unreserved int64
	read       int64
	reserved   int64
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.read += int64(n)
	if missing := r.read - r.unreserved - r.reserved; missing > 0 {
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
