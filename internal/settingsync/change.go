package settingsync

import (
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// KeyPrefix is the prefix of the keys of the settings objects in the platform's
// store.
const KeyPrefix = "settings/"

// Change is a new version of one settings object.
type Change struct {
	// Revision is the store's version of the object.
	Revision int64
	// Previous is the revision that this change follows without a gap: that of the
	// preceding change of any object or of a snapshot. It is zero for a change read from
	// a listing of the store.
	Previous int64
	// Key is the object's key in the store.
	Key string
	// Value is the object's JSON.
	Value []byte
	// Deleted is true when the object was deleted; Value is then empty.
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

// Apply puts an update in force. When it returns an error, the previous settings stay
// in force.
type Apply func(Update) error

// Source is the origin of the settings in force.
type Source string

// Sources of settings.
const (
	// SourceNone means that the built-in defaults are in force.
	SourceNone     Source = "defaults"
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Report states which settings are in force at this node and why newer ones are not.
type Report struct {
	// Revision is the revision in force; zero means the built-in defaults.
	Revision int64
	// Source is where the revision in force came from.
	Source Source
	// Refused is the highest revision that Apply refused since the revision in force
	// was applied; zero means none.
	Refused int64
	// Err is the reason of the latest refusal, or says that the store's versions went
	// backwards. It is nil after an update was applied.
	Err error
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
