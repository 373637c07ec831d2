package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/h1"
)

const (
	// peerDialTimeout is longer than the time after which a lost packet is retransmitted
	// within a region, and shorter than the latency that callers expect.
	peerDialTimeout = 350 * time.Millisecond
	// poolIdleTimeout is shorter than serverIdleTimeout, after which the peer
	// node closes an idle connection.
	poolIdleTimeout = 20 * time.Second
	// serverIdleTimeout is how long a node keeps an idle connection of a peer
	// node.
	serverIdleTimeout = 60 * time.Second
	// maxIdlePerPeer bounds the idle connections that are kept to one peer node.
	maxIdlePerPeer = 64
	// maxResponseBytes bounds a response, which is held in memory.
	maxResponseBytes = 16 << 20
)

// PeerLimits returns the limits on requests of peer nodes; maxBody is in bytes.
func PeerLimits(maxBody int64) h1.Limits {
	return h1.Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: maxBody, HeaderTimeout: 5 * time.Second, IdleTimeout: serverIdleTimeout}
}

// PeerPools holds a connection pool for each peer node. It is safe for
// concurrent use.
type PeerPools struct {
	preface h1.Preface

	mu sync.Mutex
	// pools holds the pools by the address of the peer node.
	pools map[string]*h1.Pool
}

// NewPeerPools returns PeerPools without connections. Each connection will begin with the preface.
func NewPeerPools(preface h1.Preface) *PeerPools {
	return &PeerPools{preface: preface, pools: make(map[string]*h1.Pool)}
}

// Exchange sends a request to the node at an address and returns its response. Errors
// are of type *h1.SendError.
func (l *PeerPools) Exchange(ctx context.Context, address string, r *h1.Request, deadline time.Time) (*h1.Response, error) {
	return l.pool(address).Do(ctx, r, deadline)
}

func (l *PeerPools) pool(address string) *h1.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pools[address]
	if !ok {
		p = h1.NewPool(h1.PoolConfig{
			Address: address, DialTimeout: peerDialTimeout, IdleTimeout: poolIdleTimeout,
			MaxIdle: maxIdlePerPeer, MaxResponseBytes: maxResponseBytes, Preface: l.preface, DetectDeadPeer: true,
		})
		l.pools[address] = p
	}
	return p
}

// Retain closes the pools of all addresses that are not listed.
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
