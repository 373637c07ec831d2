package membership

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// maxNameBytes bounds IDs, addresses and other names in a record, so that a record
// always fits into a packet.
const maxNameBytes = 128

// supersedes reports whether a replaces b, two records of the same ID. The order is
// total for the records that occur: Left is final within an incarnation, and Dead until
// the rejoin counter rises. A record that the member sent before it learned that it was
// declared dead does not replace the Dead record: the process may have ended since.
func supersedes(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if (a.State == Left) != (b.State == Left) {
		return a.State == Left
	}
	if a.Rejoins() != b.Rejoins() {
		return a.Rejoins() > b.Rejoins()
	}
	if (a.State == Dead) != (b.State == Dead) {
		return a.State == Dead
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// ended reports whether the state is that of a tombstone, Dead or Left.
func (s State) ended() bool {
	return s == Dead || s == Left
}

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// toProto returns the wire form of a record. endedAgo is the age of a tombstone, sent in
// whole seconds; it is zero for live members.
func toProto(m *Member, endedAgo time.Duration) *peerv1.Member {
	p := &peerv1.Member{
		Id:               m.ID,
		Incarnation:      m.Incarnation,
		Version:          m.Version,
		State:            peerv1.MemberState(m.State),
		PeerAddress:      m.Addresses.Peer,
		GossipAddress:    m.Addresses.Gossip,
		Region:           m.Region,
		FailureDomain:    m.FailureDomain,
		Service:          m.Service,
		Slots:            uint32(m.Slots),
		UpstreamReady:    m.UpstreamReady,
		Draining:         m.Draining,
		SettingsRevision: m.SettingsRevision,
		EndedSecondsAgo:  uint32(endedAgo / time.Second),
	}
	if !m.Ready.IsZero() {
		p.ReadyUnixMs = m.Ready.UnixMilli()
	}
	return p
}

// fromProto returns the record in a message, and false when the message is invalid.
func fromProto(p *peerv1.Member) (Member, bool) {
	if !validRecord(p) {
		return Member{}, false
	}
	m := Member{
		ID:            p.Id,
		Incarnation:   p.Incarnation,
		Version:       p.Version,
		State:         State(p.State),
		Addresses:     Addresses{Peer: p.PeerAddress, Gossip: p.GossipAddress},
		Region:        p.Region,
		FailureDomain: p.FailureDomain,
		Metadata: Metadata{
			Service:          p.Service,
			Slots:            int(p.Slots),
			UpstreamReady:    p.UpstreamReady,
			Draining:         p.Draining,
			SettingsRevision: p.SettingsRevision,
		},
	}
	if p.ReadyUnixMs != 0 {
		m.Ready = time.UnixMilli(p.ReadyUnixMs)
	}
	return m, true
}

// validRecord reports whether a message has an ID, an incarnation, a known state and
// both addresses, and no name longer than maxNameBytes.
func validRecord(p *peerv1.Member) bool {
	if p.GetId() == "" || p.Incarnation == 0 {
		return false
	}
	if p.State < peerv1.MemberState_MEMBER_STATE_ALIVE || p.State > peerv1.MemberState_MEMBER_STATE_LEFT {
		return false
	}
	if p.GossipAddress == "" || p.PeerAddress == "" {
		return false
	}
	for _, name := range []string{p.Id, p.PeerAddress, p.GossipAddress, p.Region, p.FailureDomain, p.Service} {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}
