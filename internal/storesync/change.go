package storesync

import "github.com/mustardwing/mustardwing/internal/platform"

// change is the result of a list or a watch of a prefix.
type change struct {
	// version is the store's version up to which the objects are complete.
	version int64
	objects []platform.Object
	// snapshot is set when the objects are all objects under the prefix.
	snapshot bool
	// returned is set in the first snapshot after the store has returned from an older copy.
	// Its version cannot be compared with those before.
	returned bool
}
