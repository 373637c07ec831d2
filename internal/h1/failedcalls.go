package h1

import "slices"

// maxFailedCalls is the number of failed calls after which a connection is closed, so that
// failedCalls stays small. A new connection for each 64 failures costs little beside them.
const maxFailedCalls = 64

// failedCalls holds the ids of the calls that got a response with an error status on one
// connection. A faulty upstream may send such a response once more, at any later time.
type failedCalls struct {
	ids []string
}

// add records a call and reports whether there is room for another one. It does not record an
// empty id.
func (f *failedCalls) add(id string) bool {
	if id == "" {
		return true
	}
	f.ids = append(f.ids, id)
	return len(f.ids) < maxFailedCalls
}

func (f *failedCalls) contains(id string) bool {
	return id != "" && slices.Contains(f.ids, id)
}
