package router

import (
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/peer"
)

// errViewClosed ends reads of an attempt that was given up.
var errViewClosed = errors.New("request body: attempt was given up")

// Body is a request body that can be sent again while no more than
// peer.ContinueAbove bytes of it were read. Each attempt reads its own view.
type Body struct {
	source io.Reader
	length int64

	// fill serialises reads of the source; it is held while the caller is slow.
	fill   sync.Mutex
	buffer []byte
	ended  error

	// gate guards the decision to read past the buffer.
	gate     sync.Mutex
	consumed bool
	failure  error
}

// NewBody returns a body of the given length, negative when unknown.
func NewBody(source io.Reader, length int64) *Body {
	return &Body{source: source, length: length}
}

// Empty reports whether there is no body.
func (b *Body) Empty() bool {
	return b.length == 0
}

// Replayable reports whether another attempt can send the whole body.
func (b *Body) Replayable() bool {
	b.gate.Lock()
	defer b.gate.Unlock()
	return !b.consumed
}

// NewReader returns a reader that starts at the beginning.
func (b *Body) NewReader() *BodyReader {
	return &BodyReader{body: b, accepted: make(chan struct{}), closed: make(chan struct{})}
}

// BodyReader is one attempt's reader of a Body. The part past the buffer is read only
// after Accept.
type BodyReader struct {
	body       *Body
	position   int
	acceptOnce sync.Once
	accepted   chan struct{}
	closeOnce  sync.Once
	closed     chan struct{}
}

// Accept allows reading past the buffer: the receiving node has admitted the
// call.
func (v *BodyReader) Accept() {
	v.acceptOnce.Do(func() { close(v.accepted) })
}

// Close ends the view. After it returns the view reads no more of the source.
func (v *BodyReader) Close() error {
	v.body.gate.Lock()
	defer v.body.gate.Unlock()
	v.closeOnce.Do(func() { close(v.closed) })
	return nil
}

func (v *BodyReader) isClosed() bool {
	select {
	case <-v.closed:
		return true
	default:
		return false
	}
}

// Read implements io.Reader.
func (v *BodyReader) Read(p []byte) (int, error) {
	n, full, err := v.readBuffered(p)
	if !full {
		return n, err
	}
	select {
	case <-v.accepted:
	case <-v.closed:
		return 0, errViewClosed
	}
	return v.readSource(p)
}

// readBuffered reads through the buffer and reports full when the buffer is
// used up and the body has not ended.
func (v *BodyReader) readBuffered(p []byte) (n int, full bool, err error) {
	b := v.body
	b.fill.Lock()
	defer b.fill.Unlock()
	if v.isClosed() {
		return 0, false, errViewClosed
	}
	if v.position < len(b.buffer) {
		n = copy(p, b.buffer[v.position:])
		v.position += n
		return n, false, nil
	}
	if b.ended != nil {
		return 0, false, b.ended
	}
	if b.length >= 0 && int64(v.position) == b.length {
		return 0, false, io.EOF
	}
	room := peer.ContinueThreshold - len(b.buffer)
	if room == 0 {
		return 0, true, nil
	}
	n, err = b.source.Read(p[:min(len(p), room)])
	b.keep(p[:n])
	v.position += n
	if err != nil {
		b.ended = err
		b.fail(err)
	}
	return n, false, err
}

// keep appends to the buffer, which has its final size at once when the length
// is known.
func (b *Body) keep(p []byte) {
	if b.buffer == nil && b.length > 0 {
		b.buffer = make([]byte, 0, min(b.length, peer.ContinueThreshold))
	}
	b.buffer = append(b.buffer, p...)
}

// readSource reads past the buffer. From then on the body cannot be sent again.
func (v *BodyReader) readSource(p []byte) (int, error) {
	b := v.body
	b.gate.Lock()
	if v.isClosed() {
		b.gate.Unlock()
		return 0, errViewClosed
	}
	b.consumed = true
	b.gate.Unlock()
	n, err := b.source.Read(p)
	b.fail(err)
	return n, err
}

// fail remembers an error of the source.
func (b *Body) fail(err error) {
	if err == nil || err == io.EOF {
		return
	}
	b.gate.Lock()
	defer b.gate.Unlock()
	b.failure = err
}

// Err returns the error that ended the body early, and nil otherwise.
func (b *Body) Err() error {
	b.gate.Lock()
	defer b.gate.Unlock()
	return b.failure
}
