// Package relay passes headers and bodies of calls from one connection to
// another.
package relay

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/mustardwing/mustardwing/internal/call"
)

// MaxHeaderBytes is the largest accepted sum of header names and values.
const MaxHeaderBytes = 64 << 10

var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	// Each hop decides itself when it reads the body.
	"Expect": true,
}

// CopyHeader copies the headers that concern the ends of a call: neither those
// of one connection nor those of this system. The values are shared.
func CopyHeader(to, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if hopHeaders[name] || call.IsReservedHeader(name) {
			continue
		}
		if len(connection) > 0 && named(connection, name) {
			continue
		}
		to[name] = values
	}
}

// named reports whether a Connection header lists the name.
func named(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}

// HeaderBytes returns the sum of names and values.
func HeaderBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// CopyTrailer copies the trailers of the ends of a call to a response whose
// body has been written.
func CopyTrailer(w http.ResponseWriter, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] && !call.IsReservedHeader(name) {
			w.Header()[http.TrailerPrefix+name] = values
		}
	}
}
