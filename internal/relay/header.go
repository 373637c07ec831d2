// Package relay passes headers and bodies of calls from one connection to another.
package relay

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/mustardwing/mustardwing/internal/call"
)

// MaxHeaderBytes is the largest accepted sum of the lengths of header names and
// values.
const MaxHeaderBytes = 64 << 10

// hopByHopHeaders apply to one connection and are never forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	// Each hop decides for itself when it reads the body.
	"Expect": true,
}

// CopyHeader copies the headers of a call, except hop-by-hop headers and the headers of
// this system. Afterwards to and from share the value slices.
func CopyHeader(to, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if hopByHopHeaders[name] || call.IsReservedHeader(name) {
			continue
		}
		if len(connection) > 0 && listedInConnection(connection, name) {
			continue
		}
		to[name] = values
	}
}

// listedInConnection reports whether the Connection header lists the name.
func listedInConnection(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}

// HeaderBytes returns the sum of the lengths of names and values, in bytes.
func HeaderBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// CopyTrailer copies the trailers of a call, except hop-by-hop headers and the headers of
// this system, to a response whose body has been written. Afterwards w and from share the
// value slices.
func CopyTrailer(w http.ResponseWriter, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] && !call.IsReservedHeader(name) {
			w.Header()[http.TrailerPrefix+name] = values
		}
	}
}
