package peer

import (
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 10 * time.Second
	// maxStreams is above the calls that one node sends another at a time; more
	// open a second connection.
	maxStreams = 1000
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
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerStream:     streamBufferBytes,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
		},
	}
}
