package node

import (
	"net/http"
	"sync"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// maxPeerClients bounds the cache of control clients; nodes come and go with new
// addresses.
const maxPeerClients = 4096

// peerClients makes control clients for peer addresses.
type peerClients struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]peerv1.PeerServiceClient
}

func newPeerClients(client *http.Client) *peerClients {
	return &peerClients{http: client, clients: make(map[string]peerv1.PeerServiceClient)}
}

// at returns the client for a peer address.
func (p *peerClients) at(address string) peerv1.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.clients[address]; ok {
		return client
	}
	if len(p.clients) >= maxPeerClients {
		clear(p.clients)
	}
	client := peerv1.NewPeerServiceClient(p.http, "http://"+address)
	p.clients[address] = client
	return client
}
