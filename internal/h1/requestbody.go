package h1

import (
	"io"
	"net/http"
	"slices"
	"time"
)

const (
	// smallBodyBytes is the size up to which bodies have a memory of their own, so that large ones
	// never keep them out.
	smallBodyBytes = 64 << 10
	// firstPartBytes is the size of the first part of a body without a stated length. Each further
	// part is twice as large, up to maxPartBytes.
	firstPartBytes = 4 << 10
	maxPartBytes   = 1 << 20
)

// BodyMemory is where a server accounts for the bodies of requests.
type BodyMemory struct {
	// Small is for bodies of up to smallBodyBytes and the beginning of those without a stated
	// length, Large for all others.
	Small, Large *Portion
}

// unboundedBodies returns a BodyMemory without a bound.
func unboundedBodies() BodyMemory {
	return BodyMemory{Small: NewMemory(0).Portion(0), Large: NewMemory(0).Portion(0)}
}

// bodyReservation is what the body of one request has reserved.
type bodyReservation struct {
	memory       BodyMemory
	holder       *holder
	small, large int64
	// growing is set while a body without a stated length is read.
	growing bool
}

func newBodyReservation(memory BodyMemory, arrived time.Time) *bodyReservation {
	return &bodyReservation{memory: memory, holder: &holder{arrived: arrived}}
}

// reserve reserves bytes from the portion for a body that has them and what is reserved already.
func (b *bodyReservation) reserve(bytes int64) error {
	portion, held := b.memory.Large, &b.large
	if b.small+b.large+bytes <= smallBodyBytes {
		portion, held = b.memory.Small, &b.small
	}
	if err := portion.reserve(b.holder, bytes); err != nil {
		return err
	}
	*held += bytes
	if b.growing && portion == b.memory.Large {
		portion.grow(b.holder, bytes)
	}
	return nil
}

// release returns all that was reserved. The body must not be used any more.
func (b *bodyReservation) release() {
	b.memory.Small.release(b.small)
	b.memory.Large.release(b.large)
	b.small, b.large = 0, 0
}

// readRequestBody reads a body of up to limit bytes in parts. Its memory is reserved before it is
// read, of a body without a stated length part by part; what does not fit stays unread in the
// connection. onReserved is called before the first byte is read. A body of up to maxPartBytes has
// one part at most.
func readRequestBody(r *http.Request, limit int64, reservation *bodyReservation, onReserved func()) ([][]byte, error) {
	switch {
	case r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > limit:
		return nil, errBodyTooLarge
	case r.ContentLength < 0:
		return readGrowingBody(r.Body, limit, reservation, onReserved)
	}
	if err := reservation.reserve(r.ContentLength); err != nil {
		return nil, err
	}
	onReserved()
	var parts [][]byte
	for left := r.ContentLength; left > 0; {
		part, ended, err := readPart(r.Body, min(left, maxPartBytes))
		if err == nil && ended && int64(len(part)) < left {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
		left -= int64(len(part))
	}
	return parts, nil
}

// readGrowingBody reads a body without a stated length; see readRequestBody.
func readGrowingBody(body io.Reader, limit int64, reservation *bodyReservation, onReserved func()) ([][]byte, error) {
	reservation.growing = true
	defer reservation.memory.Large.memory.stopGrowing(reservation.holder)
	var parts [][]byte
	total := int64(0)
	for size := int64(firstPartBytes); ; size = min(2*size, maxPartBytes) {
		if err := reservation.reserve(size); err != nil {
			return nil, err
		}
		if total == 0 {
			onReserved()
		}
		part, ended, err := readPart(body, size)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
		total += int64(len(part))
		switch {
		case total > limit:
			return nil, errBodyTooLarge
		case ended && total <= maxPartBytes:
			return [][]byte{slices.Concat(parts...)}, nil
		case ended:
			return parts, nil
		}
	}
}

// readPart reads up to size bytes and reports whether the body has ended.
func readPart(body io.Reader, size int64) (part []byte, ended bool, err error) {
	part = make([]byte, size)
	read := 0
	for read < len(part) {
		n, err := body.Read(part[read:])
		read += n
		if err == io.EOF {
			return part[:read], true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return part, false, nil
}
