package node

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// serve accepts connections in the background until the server is shut down.
func (n *Node) serve(server *http.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Stringer("address", listener.Addr()).Msg("listener failed")
		}
	}()
}
