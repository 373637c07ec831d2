package responsecheck

import (
	"net/http"
	"strings"
)

// Head checks the bytes of a response over HTTP/1 from its status line to the end of its header, as they
// arrive. It is stricter than the parser of net/http, which also accepts what other
// parsers read as another message: spaces in a field name, folded lines, lines that end in LF alone. It
// follows interim responses up to the final one. The zero value expects a response.
type Head struct {
	state headState
	// position is the position within the status line.
	position int
	status   int
	http10   bool
	name     []byte
	framing  framing
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

// Completed returns the number of headers that have ended, those of interim responses included.
func (h *Head) Completed() int {
	return h.completed
}

// Check checks the next bytes, and ignores those behind the header of the final response. The error is
// an Error; once there is one, Check returns it always.
func (h *Head) Check(p []byte) error {
	for _, b := range p {
		if h.failure != nil || h.state == inBody {
			break
		}
		h.failure = h.next(b)
	}
	return h.failure
}

// next checks one byte.
func (h *Head) next(b byte) error {
	switch h.state {
	case inStatusLine:
		return h.nextOfStatusLine(b)
	case inReason:
		return h.nextOfReason(b)
	case inValue:
		return h.nextOfValue(b)
	case inLineEnd:
		if b != '\n' {
			return Error{Reason: LineEnd, Detail: "CR without LF"}
		}
		h.state = atLineStart
	case atLineStart:
		if b == '\r' {
			h.state = inHeadEnd
			return nil
		}
		h.name, h.state = h.name[:0], inName
		return h.nextOfName(b)
	case inName:
		return h.nextOfName(b)
	case inHeadEnd:
		if b != '\n' {
			return Error{Reason: LineEnd, Detail: "CR without LF"}
		}
		return h.end()
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

// nextOfReason checks a byte of the reason phrase.
func (h *Head) nextOfReason(b byte) error {
	switch {
	case b == '\r':
		h.state = inLineEnd
	case !isTextByte(b):
		return Error{Reason: StatusLine, Detail: "control byte in the reason phrase"}
	}
	return nil
}

// nextOfValue checks a byte of a field value.
func (h *Head) nextOfValue(b byte) error {
	switch {
	case b == '\r':
		h.state = inLineEnd
		return h.framing.endField()
	case !isTextByte(b):
		return Error{Reason: FieldValue, Detail: "control byte in the value of " + h.fieldName()}
	}
	h.framing.addByte(b)
	return nil
}

func (h *Head) nextOfName(b byte) error {
	switch {
	case b == ':' && len(h.name) > 0:
		h.state = inValue
		h.framing.startField(h.name)
	case !isNameByte(b):
		return Error{Reason: FieldName, Detail: "field name with a byte that is none of a token, behind " + h.fieldName()}
	case len(h.name) < maxNameBytes:
		h.name = append(h.name, b)
	}
	return nil
}

// end ends a header.
func (h *Head) end() error {
	if err := h.framing.check(h.http10); err != nil {
		return err
	}
	h.completed++
	if h.status < http.StatusOK {
		*h = Head{name: h.name, completed: h.completed}
		return nil
	}
	h.state = inBody
	return nil
}

// maxNameBytes is the length up to which a field name is kept for errors.
const maxNameBytes = 32

// fieldName returns the quoted beginning of the present field name, which has no other bytes than
// those of a token.
func (h *Head) fieldName() string {
	return `"` + string(h.name) + `"`
}

// isTextByte reports whether a byte may stand in a field value or a reason phrase: it is a tab, a
// space, visible, or above ASCII.
func isTextByte(b byte) bool {
	return b >= ' ' && b != 0x7f || b == '\t'
}

// isNameByte reports whether a byte may stand in a field name, which is a token.
func isNameByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || isDigit(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
