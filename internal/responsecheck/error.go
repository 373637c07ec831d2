// Package responsecheck decides whether a response is whole and valid. All that reads responses of
// other processes uses it, in both daemons and the command-line client, before what a response states is
// believed.
package responsecheck

// Reason is why a response is refused. It is a label of metrics.
type Reason string

// The reasons.
const (
	// StatusLine is a status line of another form, or of another version than HTTP/1.
	StatusLine Reason = "status_line"
	// InvalidStatus is a status that a response cannot have; see Status.
	InvalidStatus Reason = "status"
	// FieldName is a line that does not begin with a field name, also a folded one.
	FieldName Reason = "field_name"
	// FieldValue is a control byte in a field value.
	FieldValue Reason = "field_value"
	// Framing is a header that does not tell where the body ends, or tells it in two ways.
	Framing Reason = "framing"
	// LineEnd is a CR without LF.
	LineEnd Reason = "line_end"
	// JoinedHeaders is a header in which another response begins.
	JoinedHeaders Reason = "joined_headers"
	// Contradiction is a header whose fields contradict each other or the request.
	Contradiction Reason = "contradiction"
	// Incomplete is a body that may lack its end.
	Incomplete Reason = "incomplete"
)

// Error reports a response that must not be used: it is malformed or not whole, so that what it states
// may be wrong and the upstream may have run the call.
type Error struct {
	Reason Reason
	// Detail describes the fault in a line. It quotes nothing of the response but names.
	Detail string
}

// Error implements error.
func (e Error) Error() string {
	return "unusable response: " + e.Detail
}
