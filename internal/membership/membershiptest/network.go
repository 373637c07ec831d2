// Package membershiptest provides an in-memory network with faults between nodes of one
// process, which carries membership packets and RPCs of the peer service, and an
// in-memory object store.
package membershiptest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// queueLength is the maximum number of packets buffered at a receiver, as in a socket
// buffer. Further packets are dropped.
const queueLength = 256

// Faults are the random faults of the network.
type Faults struct {
	// Loss and Duplication are fractions of the packets, from 0 to 1.
	Loss, Duplication float64
	// MinDelay and MaxDelay bound the one-way delay. With a MaxDelay of zero, packets
	// are delivered within Send.
	MinDelay, MaxDelay time.Duration
}

// Network connects nodes by their gossip and peer addresses. A host is the name by which
// both addresses of a node are partitioned, paused and resumed.
type Network struct {
	// mu guards all fields except packetsInFlight, and the held packets of endpoints.
	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	// endpoints and handlers are by gossip address and by peer address.
	endpoints map[string]*Endpoint
	handlers  map[string]*registeredHandler
	// partitioned is the argument of the latest SetPartition.
	partitioned func(from, to string) bool
	// paused holds, for each paused host, the channel that is closed at the end of its
	// pause.
	paused map[string]chan struct{}
	// rpcs counts RPCs by method name.
	rpcs map[string]int
	// packetsInFlight counts the goroutines that deliver a delayed packet.
	packetsInFlight sync.WaitGroup
}

// Wait returns when no packet is in flight. All nodes have to be closed before the call.
func (n *Network) Wait() {
	n.packetsInFlight.Wait()
}

// registeredHandler is the handler of a peer address and the host that it runs on.
type registeredHandler struct {
	host    string
	handler peerv1.PeerServiceHandler
}

// NewNetwork returns a network whose random choices are derived from seed.
func NewNetwork(seed uint64, faults Faults) *Network {
	return &Network{
		rng:       rand.New(rand.NewPCG(seed, 7)),
		faults:    faults,
		endpoints: map[string]*Endpoint{},
		handlers:  map[string]*registeredHandler{},
		paused:    map[string]chan struct{}{},
		rpcs:      map[string]int{},
	}
}

// SetFaults replaces the random faults.
func (n *Network) SetFaults(faults Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = faults
}

// SetPartition drops the packets sent afterwards, and the requests and responses of the
// RPCs started afterwards, from one host to another for which partitioned returns true;
// nil ends the partition.
func (n *Network) SetPartition(partitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// Pause pauses a host, as SIGSTOP does: its sends block, and what it receives is held
// until Resume.
func (n *Network) Pause(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[host] == nil {
		n.paused[host] = make(chan struct{})
	}
}

// Resume ends a pause and delivers the held packets.
func (n *Network) Resume(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if pauseEnd := n.paused[host]; pauseEnd != nil {
		close(pauseEnd)
		delete(n.paused, host)
	}
	for _, e := range n.endpoints {
		if e.host == host {
			e.release()
		}
	}
}

// Serve registers the handler of a peer address; nil removes it.
func (n *Network) Serve(host, address string, handler peerv1.PeerServiceHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if handler == nil {
		delete(n.handlers, address)
		return
	}
	n.handlers[address] = &registeredHandler{host: host, handler: handler}
}

// RPCs returns the number of RPCs of a method since the start.
func (n *Network) RPCs(method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rpcs[method]
}

// pauseEnd returns the channel that is closed at the end of the pause of a host, or nil
// when it is not paused.
func (n *Network) pauseEnd(host string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused[host]
}

// waitResumed blocks while the host is paused and reports whether it was paused.
func (n *Network) waitResumed(host string) bool {
	paused := false
	for end := n.pauseEnd(host); end != nil; end = n.pauseEnd(host) {
		<-end
		paused = true
	}
	return paused
}

// send schedules the delivery of a packet, or drops it. A packet whose sender is paused
// inside Send is dropped: the sender read the clock only shortly before the system call,
// and a pause of minutes between the two is not modelled.
func (n *Network) send(from *Endpoint, address string, payload []byte) {
	if n.waitResumed(from.host) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.endpoints[address]
	if to == nil || (n.partitioned != nil && n.partitioned(from.host, to.host)) {
		return
	}
	copies := 1
	if n.rng.Float64() < n.faults.Duplication {
		copies = 2
	}
	datagram := membership.Datagram{From: from.address, Payload: payload}
	for range copies {
		if n.rng.Float64() < n.faults.Loss {
			continue
		}
		if n.faults.MaxDelay == 0 {
			n.deliver(to, datagram)
			continue
		}
		delay := n.delay()
		// Uses no time.AfterFunc: in go1.26.8 the race detector crashes occasionally
		// when a timer of a synctest bubble starts a goroutine.
		n.packetsInFlight.Go(func() {
			time.Sleep(delay)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.deliver(to, datagram)
		})
	}
}

// delay returns a random one-way delay. The caller holds mu.
func (n *Network) delay() time.Duration {
	jitter := n.faults.MaxDelay - n.faults.MinDelay
	if jitter <= 0 {
		return n.faults.MinDelay
	}
	return n.faults.MinDelay + time.Duration(n.rng.Int64N(int64(jitter)))
}

// deliver passes a packet to an endpoint, or holds it while the host is paused. A packet
// to an endpoint that was closed or replaced is dropped. The caller holds mu.
func (n *Network) deliver(to *Endpoint, datagram membership.Datagram) {
	if n.endpoints[to.address] != to {
		return
	}
	if n.paused[to.host] != nil {
		if len(to.held) < queueLength {
			to.held = append(to.held, datagram)
		}
		return
	}
	to.enqueue(datagram)
}
