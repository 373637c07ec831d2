package node

import (
	"net/http"
	"sync"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// maxPeerServiceClients bounds the cache, since nodes join and leave with new addresses.
// A full cache is emptied.
const maxPeerServiceClients = 4096

// peerServiceClients creates and caches clients of the PeerService of peer nodes, by peer
// address.
type peerServiceClients struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]peerv1.PeerServiceClient
}

func newPeerServiceClients(client *http.Client) *peerServiceClients {
	return &peerServiceClients{http: client, clients: make(map[string]peerv1.PeerServiceClient)}
}

// get returns the client for a peer address.
func (c *peerServiceClients) get(address string) peerv1.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[address]; ok {
		return client
	}
	if len(c.clients) >= maxPeerServiceClients {
		clear(c.clients)
	}
	client := peerv1.NewPeerServiceClient(c.http, "http://"+address)
	c.clients[address] = client
	return client
}
