package responsecheck

import (
	"net/http"
	"strings"
)

// versionPrefix begins the status line of every response over HTTP/1; statusLineBytes is the length
// of one up to the status code.
const (
	versionPrefix   = "HTTP/1."
	statusLineBytes = len("HTTP/1.1 200")
)

// Joined returns an Error if a status line stands in the reason phrase or in a
// header value. An upstream that sends the beginning of an earlier response once more leaves one
// there: the parser takes both for one header, with the status and the first fields of the earlier
// one. A status line at any other place is no valid header.
func Joined(status string, h http.Header) error {
	if containsStatusLine(status) {
		return Error{Reason: JoinedHeaders, Detail: "status line of another response in the reason phrase"}
	}
	for name, values := range h {
		for _, value := range values {
			if len(value) >= statusLineBytes && containsStatusLine(value) {
				return Error{Reason: JoinedHeaders, Detail: "status line of another response in the value of " + name[:min(len(name), maxNameBytes)]}
			}
		}
	}
	return nil
}

// containsStatusLine reports whether a text contains a protocol version and a status code.
func containsStatusLine(text string) bool {
	for {
		i := strings.Index(text, versionPrefix)
		if i < 0 || len(text)-i < statusLineBytes {
			return false
		}
		line := text[i:]
		if isDigit(line[7]) && line[8] == ' ' && isDigit(line[9]) && isDigit(line[10]) && isDigit(line[11]) {
			return true
		}
		text = line[len(versionPrefix):]
	}
}
