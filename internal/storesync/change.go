package storesync

import "github.com/mustardwing/mustardwing/internal/platform"

// change is what a list or a watch of a prefix has brought.
type change struct {
	// version is the store's version up to which the objects are complete.
	version int64
	objects []platform.Object
	// whole is set when the objects are all that there are.
	whole bool
}
