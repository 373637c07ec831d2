// Package membershiptest is a network between nodes of one process, with faults.
// It carries membership packets and the RPCs of the peer service.
package membershiptest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// queueLength is the number of packets held at a receiver, as in a socket.
const queueLength = 256

// Faults are the network's faults, each a share between 0 and 1.
type Faults struct {
	Loss, Duplication float64
	// MinDelay and MaxDelay bound the one-way delay.
	MinDelay, MaxDelay time.Duration
}

// Network connects endpoints by gossip and peer address. A host is the name
// under which both addresses of a node are cut, paused and resumed.
type Network struct {
	mu        sync.Mutex
	rng       *rand.Rand
	faults    Faults
	endpoints map[string]*Endpoint
	handlers  map[string]*served
	cut       func(from, to string) bool
	paused    map[string]chan struct{}
	// RPCs counts calls by method name.
	rpcs map[string]int
	// travelling are the packets on their way.
	travelling sync.WaitGroup
}

// Wait returns when no packet is on its way any more. The nodes have to be closed.
func (n *Network) Wait() {
	n.travelling.Wait()
}

type served struct {
	host    string
	handler peerv1.PeerServiceHandler
}

// NewNetwork returns a network whose random choices come from seed.
func NewNetwork(seed uint64, faults Faults) *Network {
	return &Network{
		rng:       rand.New(rand.NewPCG(seed, 7)),
		faults:    faults,
		endpoints: map[string]*Endpoint{},
		handlers:  map[string]*served{},
		paused:    map[string]chan struct{}{},
		rpcs:      map[string]int{},
	}
}

// SetFaults replaces the faults.
func (n *Network) SetFaults(faults Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = faults
}

// SetPartition drops everything from one host to another for which cut returns true;
// nil ends the partition.
func (n *Network) SetPartition(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Pause stops a host: what it sends blocks and what it receives waits.
func (n *Network) Pause(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[host] == nil {
		n.paused[host] = make(chan struct{})
	}
}

// Resume ends a pause.
func (n *Network) Resume(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.paused[host]; gate != nil {
		close(gate)
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
	n.handlers[address] = &served{host: host, handler: handler}
}

// RPCs returns the number of calls of a method.
func (n *Network) RPCs(method string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rpcs[method]
}

// gate returns the channel that ends a host's pause, or nil.
func (n *Network) gate(host string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused[host]
}

// waitResumed blocks while the host is paused and reports whether it was.
func (n *Network) waitResumed(host string) bool {
	paused := false
	for gate := n.gate(host); gate != nil; gate = n.gate(host) {
		<-gate
		paused = true
	}
	return paused
}

// send schedules the delivery of a packet, or drops it. A packet caught in a
// pause inside Send is dropped: the time between the sender's last look at the
// clock and the system call is too short to model as minutes.
func (n *Network) send(from *Endpoint, address string, payload []byte) {
	if n.waitResumed(from.host) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.endpoints[address]
	if to == nil || (n.cut != nil && n.cut(from.host, to.host)) {
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
		// Not time.AfterFunc: in go1.26.8 the race detector crashes now and then when
		// a timer of a synctest bubble starts a goroutine.
		n.travelling.Go(func() {
			time.Sleep(delay)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.deliver(to, datagram)
		})
	}
}

func (n *Network) delay() time.Duration {
	spread := n.faults.MaxDelay - n.faults.MinDelay
	if spread <= 0 {
		return n.faults.MinDelay
	}
	return n.faults.MinDelay + time.Duration(n.rng.Int64N(int64(spread)))
}

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
	to.push(datagram)
}
