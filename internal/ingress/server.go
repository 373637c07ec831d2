package ingress

import (
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/internal/relay"
)

const (
	// readHeaderTimeout bounds how long the headers of a request may take to arrive.
	readHeaderTimeout = 10 * time.Second
	// streamBufferBytes and connectionBufferBytes bound the memory used by bodies
	// that arrive faster than they are relayed.
	streamBufferBytes     = 256 << 10
	connectionBufferBytes = 1 << 20
)

// NewServer returns the server of the caller or the loopback listener, which serves
// HTTP/1.1 and cleartext HTTP/2. Headers of up to twice relay.MaxHeaderBytes still
// reach the handler, which refuses them with a result code.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    2 * relay.MaxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream:     streamBufferBytes,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
		},
	}
}
