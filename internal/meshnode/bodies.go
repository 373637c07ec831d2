package meshnode

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/mesh"
	"github.com/mustardwing/mustardwing/internal/routing"
)

const (
	// callerBodyFraction is the fraction of the memory that large request bodies may fill at the
	// listener for callers, bodyFraction the one at both listeners together. It is twice as large,
	// since a body for the local upstream is held at both.
	callerBodyFraction = 0.23
	bodyFraction       = 2 * callerBodyFraction
	// smallBodyFraction is the fraction that small bodies may fill at each of the two listeners.
	smallBodyFraction = 0.05
	// responseFraction is the fraction that large response bodies of the upstream may fill while
	// they are read.
	responseFraction = 0.15
	// maxPeerBodyBytes bounds the body of a request of a peer node without a memory limit.
	maxPeerBodyBytes = 1 << 30
)

// buildServers creates the servers for callers and peer nodes, which share the memory for bodies.
func (n *Node) buildServers(scope tally.Scope) {
	n.callers = h1.NewServer(n.outbound, n.limits, n.config.Log)
	n.peers = h1.NewServer(n.upstream, n.peerLimits, n.config.Log)
	n.peers.RequirePrefaces(map[h1.Preface]h1.Handler{mesh.CallsPreface: n.upstream, mesh.MessagesPreface: n.gossiper})
	n.peers.OnRefused(newConnectionRefusals(n.config.Log, scope).note)
	for _, server := range []*h1.Server{n.callers, n.peers} {
		server.OnUnread(func(status int) {
			scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("requests_unread").Inc(1)
		})
	}
	large := h1.NewCollectedMemory(n.memory(bodyFraction))
	small := func() *h1.Portion { return h1.NewMemory(n.memory(smallBodyFraction)).Portion(0) }
	n.callers.LimitBodies(h1.BodyMemory{Small: small(), Large: large.Portion(n.memory(callerBodyFraction))})
	n.peers.LimitBodies(h1.BodyMemory{Small: small(), Large: large.Portion(0)})
}

// limits returns the limits on requests of callers: those of the configuration in force,
// or the defaults before the first configuration. A body must fit into the memory.
func (n *Node) limits() h1.Limits {
	limits := routing.DefaultLimits()
	if table := n.document.Table(); table != nil {
		limits = table.Limits
	}
	if largest := n.callers.LargestBody(); largest > 0 {
		limits.MaxBodyBytes = min(limits.MaxBodyBytes, largest)
	}
	return limits
}

// peerLimits returns the limits on requests of peer nodes. Their bodies are bounded by the memory
// of this node only: a configuration that allows larger ones may be in force at a peer already.
func (n *Node) peerLimits() h1.Limits {
	if largest := n.peers.LargestBody(); largest > 0 {
		return mesh.PeerLimits(largest)
	}
	return mesh.PeerLimits(maxPeerBodyBytes)
}

// checkBodyLimit warns once for each limit that a configuration allows larger bodies than this node
// can hold.
func (n *Node) checkBodyLimit(table *routing.Table) {
	allowed, largest := table.Limits.MaxBodyBytes, n.callers.LargestBody()
	if changed := n.bodyLimit.Swap(allowed) != allowed; changed && largest > 0 && allowed > largest {
		n.config.Log.Warn().Int64("max_body_bytes", allowed).Int64("largest", largest).Int64("memory_mib", n.config.MemoryMiB).
			Msg("configuration allows larger bodies than the memory of this node holds; larger ones get status 413")
	}
}

// memory returns a fraction of the memory limit in bytes, zero if there is none.
func (n *Node) memory(fraction float64) int64 {
	return int64(fraction * float64(n.config.MemoryMiB<<20))
}
