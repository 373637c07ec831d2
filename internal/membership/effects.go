package membership

import "github.com/mustardwing/mustardwing/internal/peerv1"

// effects is what the state machine asks its surroundings to do.
type effects struct {
	sends     []send
	events    []Event
	revisions []revisionSeen
	syncs     []syncTarget
	// replaced is set when another process took over this node's ID.
	replaced *Member
}

// send is one packet to a gossip address.
type send struct {
	to     string
	packet *peerv1.Packet
}

// revisionSeen says that a peer has a higher settings revision in force.
type revisionSeen struct {
	peer     Member
	revision int64
}

// syncTarget is a peer to exchange tables with.
type syncTarget struct {
	id, peerAddress string
	// full asks for the whole table instead of comparing digests.
	full bool
}

// Stats counts what the protocol did since the start.
type Stats struct {
	PacketsSent, PacketsReceived       uint64
	BytesSent, BytesReceived           uint64
	MalformedPackets                   uint64
	Suspicions, Refutations            uint64
	DeclaredDead                       uint64
	Syncs, FailedSyncs, SyncedRecords  uint64
	StoreReads, StoreWrites, Conflicts uint64
	// Pauses is how often the node found its view stale after a pause.
	Pauses uint64
}
