package responsecheck

import "net/http"

// Head checks the bytes of a response over HTTP/1 from its status line to the end of its header, as they
// arrive. It is stricter than the parser of net/http, which also accepts what other parsers read as another
// message: spaces in a field name, folded lines, lines that end in LF alone. It follows interim responses
// up to the final one. The zero value expects a response.
type Head struct {
	state headState
	// position is the position within the status line.
	position int
	status   int
	// http10 is set for HTTP/1.0.
	http10 bool
	// name is the beginning of the present field name.
	name    []byte
	framing framing
	// completed counts the headers that have ended, those of interim responses included.
	completed int
	failure   error
}

type headState int

const (
	inStatusLine headState = iota
	inReason
	inLineEnd
	atLineStart
	inName
	inValue
	inHeadEnd
	inBody
)

// statusLineForm is the form of a status line up to the status; 0 stands for a digit.
const statusLineForm = "HTTP/1.0 000"

// minorVersionPosition and statusPosition are positions in statusLineForm.
const (
	minorVersionPosition = len("HTTP/1.")
	statusPosition       = len("HTTP/1.0 ")
)

// Reset makes h expect another response.
func (h *Head) Reset() {
	*h = Head{name: h.name[:0], framing: framing{value: h.framing.value[:0]}}
}

// Completed returns the number of headers that have ended, those of interim responses included.
func (h *Head) Completed() int {
	return h.completed
}

// Check checks the next bytes, and ignores those behind the header of the final response. The error is
// an Error; once there is one, Check returns it always.
func (h *Head) Check(p []byte) error {
	for len(p) > 0 && h.failure == nil && h.state != inBody {
		n := h.takeText(p)
		if n == 0 {
			h.failure = h.next(p[0])
			n = 1
		}
		p = p[n:]
	}
	return h.failure
}

// Err returns the error that Check has returned, nil if there is none.
func (h *Head) Err() error {
	return h.failure
}

// takeText takes the bytes at the beginning of p that belong to the present field name, field value or
// reason phrase, and returns their number.
func (h *Head) takeText(p []byte) int {
	switch h.state {
	case inReason:
		return span(p, &textBytes)
	case inValue:
		n := span(p, &textBytes)
		h.framing.addValue(p[:n])
		return n
	case inName:
		n := span(p, &nameBytes)
		h.name = append(h.name, p[:min(n, maxNameBytes-len(h.name))]...)
		return n
	}
	return 0
}

// next checks a byte that takeText has not taken.
func (h *Head) next(b byte) error {
	switch h.state {
	case inStatusLine:
		return h.nextOfStatusLine(b)
	case inReason:
		if b != '\r' {
			return Error{Reason: StatusLine, Detail: "control byte in the reason phrase"}
		}
		h.state = inLineEnd
	case inValue:
		if b != '\r' {
			return Error{Reason: FieldValue, Detail: "control byte in the value of " + h.fieldName()}
		}
		h.state = inLineEnd
		return h.framing.endField()
	case inLineEnd:
		if b != '\n' {
			return Error{Reason: LineEnd, Detail: "CR without LF"}
		}
		h.state = atLineStart
	case atLineStart:
		return h.startLine(b)
	case inName:
		if b != ':' {
			return Error{Reason: FieldName, Detail: "byte that is none of a field name, behind " + h.fieldName()}
		}
		h.state = inValue
		h.framing.startField(h.name)
	case inHeadEnd:
		if b != '\n' {
			return Error{Reason: LineEnd, Detail: "CR without LF"}
		}
		return h.end()
	}
	return nil
}

// startLine checks the first byte of a line behind the status line.
func (h *Head) startLine(b byte) error {
	switch {
	case b == '\r':
		h.state = inHeadEnd
	case nameBytes[b]:
		h.name, h.state = append(h.name[:0], b), inName
	default:
		return Error{Reason: FieldName, Detail: "line without a field name, behind the field " + h.fieldName()}
	}
	return nil
}

func (h *Head) nextOfStatusLine(b byte) error {
	if h.position == len(statusLineForm) {
		switch b {
		case ' ':
			h.state = inReason
		case '\r':
			h.state = inLineEnd
		default:
			return Error{Reason: StatusLine, Detail: "more than three digits of a status"}
		}
		return nil
	}
	want := statusLineForm[h.position]
	if want == '0' && !isDigit(b) || want != '0' && b != want {
		return Error{Reason: StatusLine, Detail: "want HTTP/1 and a status of three digits"}
	}
	switch {
	case h.position == minorVersionPosition:
		h.http10 = b == '0'
	case h.position >= statusPosition:
		h.status = h.status*10 + int(b-'0')
	}
	h.position++
	if h.position == len(statusLineForm) {
		return Status(h.status)
	}
	return nil
}

// end ends a header.
func (h *Head) end() error {
	if err := h.framing.check(h.http10); err != nil {
		return err
	}
	completed := h.completed + 1
	if h.status < http.StatusOK {
		h.Reset()
	} else {
		h.state = inBody
	}
	h.completed = completed
	return nil
}

// maxNameBytes is the length up to which a field name is kept for errors.
const maxNameBytes = 32

// fieldName returns the quoted beginning of the present field name, which has no other bytes than
// those of a token.
func (h *Head) fieldName() string {
	return `"` + string(h.name) + `"`
}
