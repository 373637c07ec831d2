package peer

import (
	"net/http"
	"time"
)

const (
	// readHeaderTimeout bounds how long the headers of a request may take to arrive.
	readHeaderTimeout = 10 * time.Second
	// maxConcurrentStreams is above the number of calls that one node has in flight
	// at another. Beyond it the client opens a second connection.
	maxConcurrentStreams = 1000
)

// NewServer returns the server of the peer listener: cleartext HTTP/2 only.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxConcurrentStreams,
			MaxReceiveBufferPerStream:     streamBufferBytes,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
		},
	}
}
