package node

import (
	"net/http"
	"sync"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// maxControlClients bounds the cache, since nodes join and leave with new addresses.
const maxControlClients = 4096

// controlClients creates and caches RPC clients by peer address.
type controlClients struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]peerv1.PeerServiceClient
}

func newControlClients(client *http.Client) *controlClients {
	return &controlClients{http: client, clients: make(map[string]peerv1.PeerServiceClient)}
}

// get returns the client for a peer address.
func (c *controlClients) get(address string) peerv1.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[address]; ok {
		return client
	}
	if len(c.clients) >= maxControlClients {
		clear(c.clients)
	}
	client := peerv1.NewPeerServiceClient(c.http, "http://"+address)
	c.clients[address] = client
	return client
}
