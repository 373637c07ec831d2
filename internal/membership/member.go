// Package membership maintains each node's table of the nodes in the fleet: their
// states, addresses and upstreams. Failures are detected by probes; updates are
// disseminated by gossip and anti-entropy.
package membership

import "time"

// State is the state of a member as the local node sees it.
type State uint8

// States of a member. Their values are those of peerv1.MemberState. A live member is
// Alive or Suspect. The record of a Dead or Left member is a tombstone: it is kept for
// the tombstone TTL, so that an outdated record does not make the member live again.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

// Addresses are the network addresses of a member, each a host and port.
type Addresses struct {
	// Peer accepts forwarded calls and control RPCs over TCP.
	Peer string
	// Gossip receives membership packets over UDP.
	Gossip string
}

// Metadata is the part of a member's record that the member itself sets, without its
// identity and addresses.
type Metadata struct {
	// Service is empty until an upstream has announced itself.
	Service string
	// Slots is the number of calls that the upstream can run at a time.
	Slots int
	// UpstreamReady is set while the upstream accepts calls.
	UpstreamReady bool
	// Draining is set while the member finishes its running calls and accepts no new
	// ones.
	Draining bool
	// Ready is when the upstream became ready; zero if it has not.
	Ready time.Time
	// SettingsRevision is the settings revision in force at the member.
	SettingsRevision int64
}

// Member is the record of one node of the fleet, as it is disseminated. The type record
// adds the local node's own state about it.
type Member struct {
	ID string
	// Incarnation orders the processes that use the same ID: the start time of the
	// process in unix nanoseconds, or a higher number if an earlier process had one.
	Incarnation uint64
	// Version orders the member's records within an incarnation. Only the member itself
	// raises it. Its upper half is the rejoin counter, see Rejoins.
	Version               uint64
	State                 State
	Addresses             Addresses
	Region, FailureDomain string
	Metadata
}

// rejoinShift is the number of version bits below the rejoin counter. A member that
// raises its version a thousand times a second takes seven weeks to exhaust these bits.
const rejoinShift = 32

// Rejoins returns how often the process rejoined after it was declared dead. Within an
// incarnation, Dead is final for each value of this counter.
func (m *Member) Rejoins() uint64 {
	return m.Version >> rejoinShift
}

// Event is a change of one member's record. There are no events for the local node, and
// none for a settings revision that a packet header carries.
type Event struct {
	// Previous is nil for a member that was unknown before.
	Previous *Member
	Current  Member
}
