package h1

import (
	"bytes"
	"io"
	"math"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
)

const (
	// maxHeaderLines bounds the lines of a header. A parsed line takes many times its bytes, so
	// a bound on the bytes alone does not bound the memory.
	maxHeaderLines = 256
	// headerMemoryFactor is the memory that a header takes for each byte: the byte itself while
	// it is read, and its copy in the parsed header.
	headerMemoryFactor = 2
)

// messageReader reads the messages of a connection and bounds the header that is being read. Beyond
// a bound it reads io.EOF, and exceeded reports that.
type messageReader struct {
	conn io.Reader
	// left is the number of bytes that may still be read.
	left int64
	// inHeader is set while a header is read. blocks and lines count what was read for it; the last
	// block may also hold the beginning of the body.
	inHeader      bool
	blocks, lines int
	// account, unless nil, reserves the memory of the header beyond its first block.
	account  *byteAccount
	reserved int64
	// head, unless nil, checks what is read for a header.
	head *responsecheck.Head
	// refused is set once the account did not allow the header to grow. The parser may report
	// another error then, since it takes what it has read of a line for the whole line.
	refused bool
}

// startHeader bounds the next header, with all that precedes it, to limit bytes and to
// maxHeaderLines.
func (r *messageReader) startHeader(limit int64) {
	r.left, r.inHeader, r.lines, r.blocks, r.head = limit, true, 0, 0, nil
}

// startBody ends the bounds of the header. The reader of the body has its own.
func (r *messageReader) startBody() {
	r.left, r.inHeader, r.head = math.MaxInt64, false, nil
}

// exceeded reports whether the current header has reached its bound.
func (r *messageReader) exceeded() bool {
	return r.left <= 0
}

// Read implements io.Reader. It fails with errBufferLimit if the account does not allow the header
// to grow, and with the error of head.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.inHeader && r.lines > maxHeaderLines {
		r.left = 0
	}
	if r.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.conn.Read(p)
	r.left -= int64(n)
	if r.inHeader && !r.noteHeaderBlock(p[:n]) {
		r.refused = true
		return 0, errBufferLimit
	}
	if r.head != nil {
		if invalid := r.head.Check(p[:n]); invalid != nil {
			return 0, invalid
		}
	}
	return n, err
}

// noteHeaderBlock counts the lines of a block that was read for a header. It reports whether the
// account allows the block.
func (r *messageReader) noteHeaderBlock(block []byte) bool {
	r.blocks++
	r.lines += bytes.Count(block, []byte{'\n'})
	if r.account == nil || r.blocks == 1 {
		return true
	}
	memory := int64(headerMemoryFactor * len(block))
	if !r.account.reserve(memory) {
		return false
	}
	r.reserved += memory
	return true
}

// release returns what was reserved.
func (r *messageReader) release() {
	if r.reserved > 0 {
		r.account.reserved.Add(-r.reserved)
		r.reserved = 0
	}
}
