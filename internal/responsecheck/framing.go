package responsecheck

import "bytes"

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
	// maxFramingValueBytes bounds what is kept of a value. It has room for spaces around each valid one.
	maxFramingValueBytes = 64
)

// startField begins a field.
func (f *framing) startField(name []byte) {
	f.kind, f.value = otherField, f.value[:0]
	switch len(name) {
	case len("Content-Length"):
		if bytes.EqualFold(name, []byte("Content-Length")) {
			f.kind = contentLength
		}
	case len("Transfer-Encoding"):
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			f.kind = transferEncoding
		}
	}
}

// addValue adds bytes to the value of the present field.
func (f *framing) addValue(p []byte) {
	if f.kind != otherField {
		f.value = append(f.value, p[:min(len(p), maxFramingValueBytes-len(f.value))]...)
	}
}

// endField checks the present field.
func (f *framing) endField() error {
	if len(f.value) == maxFramingValueBytes {
		return Error{Reason: Framing, Detail: "Content-Length or Transfer-Encoding that is too long"}
	}
	value := bytes.Trim(f.value, " \t")
	switch f.kind {
	case contentLength:
		if !isLength(value) || f.length != "" && f.length != string(value) {
			return Error{Reason: Framing, Detail: "Content-Length that is no number, or another one than before"}
		}
		f.length = string(value)
	case transferEncoding:
		if f.chunked || !bytes.EqualFold(value, []byte("chunked")) {
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

func isLength(value []byte) bool {
	for _, b := range value {
		if !isDigit(b) {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxLengthDigits
}
