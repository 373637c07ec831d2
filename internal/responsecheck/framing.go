package responsecheck

import "strings"

// framing checks the fields that state where the body of a response ends.
type framing struct {
	// kind is the present field, value the beginning of its value.
	kind  framingField
	value []byte
	// length is the value of Content-Length, empty if there is none. chunked is set if the body is sent
	// in chunks.
	length  string
	chunked bool
}

type framingField int

const (
	otherField framingField = iota
	contentLength
	transferEncoding
)

const (
	// maxLengthDigits bounds a length to what fits into an int64.
	maxLengthDigits = 18
	// maxFramingValueBytes bounds what is kept of a value, beyond that of each valid one.
	maxFramingValueBytes = 64
)

// startField begins a field.
func (f *framing) startField(name []byte) {
	f.kind, f.value = otherField, f.value[:0]
	switch len(name) {
	case len("Content-Length"):
		if strings.EqualFold(string(name), "Content-Length") {
			f.kind = contentLength
		}
	case len("Transfer-Encoding"):
		if strings.EqualFold(string(name), "Transfer-Encoding") {
			f.kind = transferEncoding
		}
	}
}

// addByte adds a byte to the value of the present field.
func (f *framing) addByte(b byte) {
	if f.kind != otherField && len(f.value) < maxFramingValueBytes {
		f.value = append(f.value, b)
	}
}

// endField checks the present field.
func (f *framing) endField() error {
	value := strings.Trim(string(f.value), " \t")
	switch f.kind {
	case contentLength:
		if !isLength(value) || f.length != "" && f.length != value {
			return Error{Reason: Framing, Detail: "Content-Length that is no number, or another one than before"}
		}
		f.length = value
	case transferEncoding:
		if f.chunked || !strings.EqualFold(value, "chunked") {
			return Error{Reason: Framing, Detail: "Transfer-Encoding other than chunked, or twice"}
		}
		f.chunked = true
	}
	return nil
}

// check returns an error if receivers may disagree on the end of the body. Chunks are unknown to
// HTTP/1.0, and beside a length each receiver chooses one of both.
func (f *framing) check(http10 bool) error {
	switch {
	case f.chunked && http10:
		return Error{Reason: Framing, Detail: "Transfer-Encoding over HTTP/1.0"}
	case f.chunked && f.length != "":
		return Error{Reason: Framing, Detail: "Transfer-Encoding beside Content-Length"}
	}
	return nil
}

func isLength(value string) bool {
	for i := range len(value) {
		if !isDigit(value[i]) {
			return false
		}
	}
	return value != "" && len(value) <= maxLengthDigits
}
