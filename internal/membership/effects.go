package membership

import "github.com/mustardwing/mustardwing/internal/peerv1"

// effects are the outputs of the state machine; Memberlist carries them out.
type effects struct {
	sends     []outboundPacket
	events    []Event
	revisions []peerRevision
	syncs     []syncTarget
	// replaced is set when another process with a higher incarnation uses the ID of
	// the local node.
	replaced *Member
}

// outboundPacket is one packet and the gossip address to send it to.
type outboundPacket struct {
	to     string
	packet *peerv1.Packet
}

// peerRevision is a settings revision in force at a peer, higher than the local one.
type peerRevision struct {
	peer     Member
	revision int64
}

// syncTarget is a peer to exchange tables with.
type syncTarget struct {
	id, peerAddress string
	// full fetches the whole table instead of comparing digests.
	full bool
}

// Stats holds the counters of the protocol since the start.
type Stats struct {
	PacketsSent, PacketsReceived       uint64
	BytesSent, BytesReceived           uint64
	MalformedPackets                   uint64
	Suspicions, Refutations            uint64
	DeclaredDead                       uint64
	Syncs, FailedSyncs, SyncedRecords  uint64
	StoreReads, StoreWrites, Conflicts uint64
	// Pauses counts the pauses after which the view of the node was stale.
	Pauses uint64
}
