package responsecheck

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against headers that are refused although they only name a protocol.
func TestNamesOfProtocolsAreNoStatusLine(t *testing.T) {
	for value, joined := range map[string]bool{
		"Sat, 05 DecHTTP/1.1 200 OK": true, "HTTP/1.0 503": true, "aHTTP/1.1 HTTP/1.1 500 x": true,
		"SimpleHTTP/1.1 Python": false, "HTTP/2.0, HTTP/1.1": false, "HTTP/1.1 20": false, "HTTP/1.1 2OO OK": false, "": false,
	} {
		assert.Equal(t, Joined("200 OK", http.Header{"X": {"a", value}}) != nil, joined, value)
		assert.Equal(t, Joined("200 "+value, nil) != nil, joined, value)
	}
}
