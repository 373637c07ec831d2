package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/h1"
)

const (
	// linkDialTimeout is above a lost packet's retransmission within a region and
	// below the latency that callers expect.
	linkDialTimeout = 350 * time.Millisecond
	// linkIdleTimeout is below the time after which the other node closes.
	linkIdleTimeout = 20 * time.Second
	// peerIdleTimeout is when a node closes a connection of another node.
	peerIdleTimeout = 60 * time.Second
	maxLinkIdle     = 64
	// maxResponseBytes bounds a response, which is held in memory.
	maxResponseBytes = 16 << 20
)

// PeerLimits bound what other nodes send.
func PeerLimits(maxBody int64) h1.Limits {
	return h1.Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: maxBody, HeaderTimeout: 5 * time.Second, IdleTimeout: peerIdleTimeout}
}

// PeerPools holds the connections to other nodes. It is safe for concurrent use.
type PeerPools struct {
	mu    sync.Mutex
	pools map[string]*h1.Pool
}

// NewPeerPools returns links without connections.
func NewPeerPools() *PeerPools {
	return &PeerPools{pools: make(map[string]*h1.Pool)}
}

// Exchange sends a request to the node at an address.
func (l *PeerPools) Exchange(ctx context.Context, address string, r *h1.Request, deadline time.Time) (*h1.Response, error) {
	return l.pool(address).Do(ctx, r, deadline)
}

func (l *PeerPools) pool(address string) *h1.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pools[address]
	if !ok {
		p = h1.NewPool(h1.PoolConfig{
			Address: address, DialTimeout: linkDialTimeout, IdleTimeout: linkIdleTimeout,
			MaxIdle: maxLinkIdle, MaxResponseBytes: maxResponseBytes, Harden: true,
		})
		l.pools[address] = p
	}
	return p
}

// Retain closes the connections to addresses that are not listed.
func (l *PeerPools) Retain(addresses []string) {
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, p := range l.pools {
		if !wanted[address] {
			p.Close()
			delete(l.pools, address)
		}
	}
}
