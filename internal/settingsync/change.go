package settingsync

import (
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// KeyPrefix is the prefix of the keys of the settings objects in the platform's
// store.
const KeyPrefix = "settings/"

// Change is a new version of one scope.
type Change struct {
	Revision int64
	// Previous is the revision of the preceding change, zero for the first.
	Previous int64
	// Key is the object key in the store.
	Key   string
	Value []byte
	// Deleted is true when the scope was removed; Value is then empty.
	Deleted bool
}

// Update is a set of changes that a node applies atomically.
type Update struct {
	// Revision is in force once the update is applied.
	Revision int64
	// Snapshot is true when Changes holds the whole tree, which replaces the one in
	// force. Otherwise Changes holds the changes since the revision in force, in
	// order.
	Snapshot bool
	Changes  []Change
}

// Apply puts an update in force or refuses it as a whole. After a refusal the
// previous settings stay in force.
type Apply func(Update) error

// Source is the origin of the settings in force.
type Source string

// Sources.
const (
	// SourceNone means that the built-in defaults are in force.
	SourceNone     Source = "defaults"
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Report is the state of the settings at this node.
type Report struct {
	// Revision in force; zero means the built-in defaults.
	Revision int64
	Source   Source
	// Refused is the highest revision that was refused, and Err is the reason. Err
	// is also set when the store's versions went backwards. Both are cleared when a
	// later revision is applied.
	Refused int64
	Err     error
}

func toProto(c Change) *peerv1.SettingsChange {
	return &peerv1.SettingsChange{Revision: c.Revision, Previous: c.Previous, Key: c.Key, Value: c.Value, Deleted: c.Deleted}
}

func fromProto(p *peerv1.SettingsChange) Change {
	return Change{Revision: p.Revision, Previous: p.Previous, Key: p.Key, Value: p.Value, Deleted: p.Deleted}
}

func fromObject(o platform.Object) Change {
	return Change{Revision: o.Version, Key: o.Key, Value: o.Value, Deleted: o.Deleted}
}
