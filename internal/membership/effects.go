package membership

import "github.com/mustardwing/mustardwing/internal/peerv1"

// effects are the outputs of the state machine; Memberlist carries them out.
type effects struct {
	sends []outboundPacket
	// events and revisions are for the subscribers.
	events    []Event
	revisions []peerRevision
	// syncs are the anti-entropy rounds to start.
	syncs []syncTarget
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
	PacketsSent, PacketsReceived uint64
	// BytesSent and BytesReceived count the payloads of packets.
	BytesSent, BytesReceived uint64
	MalformedPackets         uint64
	// Suspicions counts the members that a failed probe of the local node made
	// suspect. Refutations counts the records by which the local node refuted that it
	// is suspect or dead.
	Suspicions, Refutations uint64
	// DeclaredDead counts the suspects that the local node declared dead.
	DeclaredDead uint64
	// Syncs and FailedSyncs count anti-entropy rounds that the local node started: those
	// with a response, and those in which an RPC failed. SyncedRecords counts the valid
	// records received in all rounds.
	Syncs, FailedSyncs, SyncedRecords uint64
	// Conflicts is 1 once another process has replaced the local node under its ID.
	StoreReads, StoreWrites, Conflicts uint64
	// Pauses counts the pauses after which the view of the node was stale.
	Pauses uint64
}
