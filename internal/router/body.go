package router

import (
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/peer"
)

// errReaderClosed ends the reads of an attempt that was abandoned.
var errReaderClosed = errors.New("request body: the attempt was abandoned")

// Body is a request body that can be sent again while no more than
// peer.ContinueThreshold bytes of it have been read. Each attempt has its own
// BodyReader.
type Body struct {
	source io.Reader
	// length is in bytes, negative when unknown.
	length int64

	// sourceMu serialises the reads that fill the buffer. It stays locked while a
	// slow caller sends.
	sourceMu sync.Mutex
	// buffer holds what was read of the source, at most peer.ContinueThreshold bytes.
	buffer []byte
	// bufferErr is the error, io.EOF included, that the source returned while the
	// buffer was filled.
	bufferErr error

	// stateMu guards the decision to read past the buffer, and the fields below.
	stateMu sync.Mutex
	// consumed is set once a reader has read past the buffer.
	consumed bool
	// sourceErr is the error of the source other than io.EOF.
	sourceErr error
}

// NewBody returns a body of the given length in bytes, negative when unknown.
func NewBody(source io.Reader, length int64) *Body {
	return &Body{source: source, length: length}
}

// Empty reports whether the length of the body is known to be zero.
func (b *Body) Empty() bool {
	return b.length == 0
}

// Replayable reports whether another attempt can send the whole body.
func (b *Body) Replayable() bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return !b.consumed
}

// NewReader returns a reader that starts at the beginning of the body. An attempt that
// sends the body again must call it while Replayable returns true.
func (b *Body) NewReader() *BodyReader {
	return &BodyReader{body: b, accepted: make(chan struct{}), closed: make(chan struct{})}
}

// BodyReader is one attempt's reader of a Body. It reads past the buffer only
// after Accept.
type BodyReader struct {
	body *Body
	// position is the number of bytes read from the buffer.
	position int
	// accepted is closed by Accept, closed by Close.
	acceptOnce sync.Once
	accepted   chan struct{}
	closeOnce  sync.Once
	closed     chan struct{}
}

// Accept allows reading past the buffer. It is called when the receiving node has
// admitted the call, and may be called more than once.
func (r *BodyReader) Accept() {
	r.acceptOnce.Do(func() { close(r.accepted) })
}

// Close makes later reads fail and ends a Read that waits for Accept. After Close has
// returned, this reader no longer begins to read past the buffer, so it cannot make the
// body impossible to send again.
func (r *BodyReader) Close() error {
	r.body.stateMu.Lock()
	defer r.body.stateMu.Unlock()
	r.closeOnce.Do(func() { close(r.closed) })
	return nil
}

func (r *BodyReader) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// Read reads from the buffer, and past its end once Accept has been called; until then
// it waits.
func (r *BodyReader) Read(p []byte) (int, error) {
	n, full, err := r.readBuffered(p)
	if !full {
		return n, err
	}
	select {
	case <-r.accepted:
	case <-r.closed:
		return 0, errReaderClosed
	}
	return r.readSource(p)
}

// readBuffered reads from the buffer and fills it from the source as needed. It reports
// full when this reader has read the whole buffer, the buffer cannot grow and the body is
// not known to have ended.
func (r *BodyReader) readBuffered(p []byte) (n int, full bool, err error) {
	b := r.body
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	if r.isClosed() {
		return 0, false, errReaderClosed
	}
	if r.position < len(b.buffer) {
		n = copy(p, b.buffer[r.position:])
		r.position += n
		return n, false, nil
	}
	if b.bufferErr != nil {
		return 0, false, b.bufferErr
	}
	if b.length >= 0 && int64(r.position) == b.length {
		return 0, false, io.EOF
	}
	free := peer.ContinueThreshold - len(b.buffer)
	if free == 0 {
		return 0, true, nil
	}
	n, err = b.source.Read(p[:min(len(p), free)])
	b.appendToBuffer(p[:n])
	r.position += n
	if err != nil {
		b.bufferErr = err
		b.recordError(err)
	}
	return n, false, err
}

// appendToBuffer appends to the buffer, which is allocated at its final size when
// the length of the body is known.
func (b *Body) appendToBuffer(p []byte) {
	if b.buffer == nil && b.length > 0 {
		b.buffer = make([]byte, 0, min(b.length, peer.ContinueThreshold))
	}
	b.buffer = append(b.buffer, p...)
}

// readSource reads past the buffer, after which the body cannot be sent again.
func (r *BodyReader) readSource(p []byte) (int, error) {
	b := r.body
	b.stateMu.Lock()
	if r.isClosed() {
		b.stateMu.Unlock()
		return 0, errReaderClosed
	}
	b.consumed = true
	b.stateMu.Unlock()
	n, err := b.source.Read(p)
	b.recordError(err)
	return n, err
}

// recordError stores an error of the source other than io.EOF.
func (b *Body) recordError(err error) {
	if err == nil || err == io.EOF {
		return
	}
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.sourceErr = err
}

// Err returns the error that ended the body early, nil when no read has failed so far.
func (b *Body) Err() error {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return b.sourceErr
}
