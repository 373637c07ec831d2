package membershiptest

import (
	"github.com/mustardwing/mustardwing/internal/membership"
)

// Endpoint is a transport on a Network.
type Endpoint struct {
	network       *Network
	host, address string
	packets       chan membership.Datagram
	// held holds the packets that arrived during a pause of the host.
	held []membership.Datagram
}

var _ membership.Transport = (*Endpoint)(nil)

// Listen opens a gossip address. A later endpoint at the same address replaces
// the earlier one.
func (n *Network) Listen(host, address string) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &Endpoint{network: n, host: host, address: address, packets: make(chan membership.Datagram, queueLength)}
	n.endpoints[address] = e
	return e
}

// Send implements membership.Transport.
func (e *Endpoint) Send(address string, payload []byte) error {
	e.network.send(e, address, payload)
	return nil
}

// Packets implements membership.Transport.
func (e *Endpoint) Packets() <-chan membership.Datagram {
	return e.packets
}

// Close implements membership.Transport.
func (e *Endpoint) Close() error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.network.endpoints[e.address] == e {
		delete(e.network.endpoints, e.address)
	}
	return nil
}

// enqueue passes a packet to the receiver, or drops it when the queue is full.
func (e *Endpoint) enqueue(datagram membership.Datagram) {
	select {
	case e.packets <- datagram:
	default:
	}
}

// release enqueues the held packets. The caller holds the network's mu.
func (e *Endpoint) release() {
	for _, datagram := range e.held {
		e.enqueue(datagram)
	}
	e.held = nil
}
