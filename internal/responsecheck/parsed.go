package responsecheck

import "net/http"

// Parsed returns an Error for the parsed header of a response that cannot be one of a whole and valid
// response. A Head finds more in its bytes.
func Parsed(r *http.Response) error {
	if err := FinalStatus(r.StatusCode); err != nil {
		return err
	}
	if err := FieldNames(r.Header); err != nil {
		return err
	}
	return Joined(r.Status, r.Header)
}

// FieldNames returns an Error if a field of a header or a trailer has no valid name.
func FieldNames(h http.Header) error {
	for name := range h {
		if name == "" || span(name, &nameBytes) < len(name) {
			return Error{Reason: FieldName, Detail: "field name that is no token"}
		}
	}
	return nil
}
