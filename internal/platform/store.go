// Package platform is the client side of the platform's object API: versioned
// objects, conditional updates and long-poll watches.
package platform

import "context"

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Object is one version of a stored value.
type Object struct {
	Key string `json:"key"`
	// Version is the store's version after the write of this value. The store's version
	// increases with every write to any key.
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
	// Deleted is set only in events, for a deletion. Version is then that of the deletion.
	Deleted bool `json:"deleted,omitempty"`
}

// Listing holds all objects under a prefix, sorted by key, and the store's
// version at which they were read.
type Listing struct {
	Version int64    `json:"version"`
	Objects []Object `json:"objects"`
	// Skipped is the number of objects that could not be read and are left out.
	Skipped int `json:"-"`
}

// Events holds the changes under a prefix in the order of their versions.
type Events struct {
	// Version is the store's version up to which the events are complete; pass
	// it as after to the next Watch.
	Version int64    `json:"version"`
	Events  []Object `json:"events"`
	// Skipped is the number of changes that could not be read and are left out.
	Skipped int `json:"-"`
}

// Store is the object API. Errors other than ErrCompacted carry a result code, such as
// PlatformUnavailable, PlatformRateLimited, PlatformMalformed, SettingsConflict for a
// failed condition, SettingsInvalid for an invalid key or a value that is too large, and
// ScopeNotFound for a missing key. An Update or Delete that fails with
// PlatformUnavailable or PlatformMalformed may have taken effect or may do so later,
// unless the error's Execution is NotRun.
type Store interface {
	// Get fails with ScopeNotFound when the object does not exist.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose keys begin with prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Update writes value if the object's version is ifVersion; zero means that
	// the object must not exist. With SettingsConflict it returns the current
	// object, whose version is zero when there is none.
	Update(ctx context.Context, key string, ifVersion int64, value []byte) (Object, error)
	// Delete removes the object if its version is ifVersion.
	Delete(ctx context.Context, key string, ifVersion int64) error
	// Watch waits until an object under prefix has a change newer than version
	// after, or until the server's poll timeout has passed, in which case the list
	// of events is empty. It fails with ErrCompacted when the store no longer has
	// the changes.
	Watch(ctx context.Context, prefix string, after int64) (Events, error)
}

// EraStore is a Store that may return from an outage with an older copy of its objects. It
// has then lost what it had acknowledged since, and gives out the same versions again.
type EraStore interface {
	Store
	// Era returns the highest era that a response has stated so far, zero before the first.
	// The era rises with each return; versions of different eras cannot be compared.
	Era() uint64
}
