package idempotency

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Epoch is a period of issue times with a fixed set of members. It ends at the start of
// the next epoch.
type Epoch struct {
	Number uint64
	// Start is the first issue time of the epoch, in unix milliseconds.
	Start   int64
	Members []Member
}

// Owner returns the member with the highest rendezvous hash for the key; ok is
// false when the epoch has no members.
func (e Epoch) Owner(key uuid.UUID) (owner Member, ok bool) {
	var best uint64
	for _, m := range e.Members {
		h := rendezvous(key, m.Identity)
		if !ok || h > best || (h == best && m.ID < owner.ID) {
			owner, best, ok = m, h, true
		}
	}
	return owner, ok
}

// Has reports whether the identity is a member of the epoch.
func (e Epoch) Has(id Identity) bool {
	for _, m := range e.Members {
		if m.Identity == id {
			return true
		}
	}
	return false
}

// membersLosingKeys returns the members of e that may lose keys when next are the
// members of the following epoch: all members of e when next has a new one, otherwise
// those that next lacks.
func (e Epoch) membersLosingKeys(next []Member) []Member {
	successor := Epoch{Members: next}
	var removed []Member
	for _, m := range e.Members {
		if !successor.Has(m.Identity) {
			removed = append(removed, m)
		}
	}
	for _, m := range next {
		if !e.Has(m.Identity) {
			return e.Members
		}
	}
	return removed
}

// rendezvous returns the rendezvous hash of a key and a member.
func rendezvous(key uuid.UUID, id Identity) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, key[:]...)
	buffer = binary.BigEndian.AppendUint64(buffer, id.Incarnation)
	buffer = append(buffer, id.ID...)
	return xxhash.Sum64(buffer)
}
