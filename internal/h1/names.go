package h1

import (
	"maps"
	"net/http"
	"sync/atomic"
)

const (
	// maxKnownNames bounds the names that nameTable keeps, and maxNameBytes the length of one.
	maxKnownNames = 256
	maxNameBytes  = 64
)

// nameTable keeps header names by the forms in which they were received, so that a usual name is
// neither checked nor put into its canonical form again. It is safe for concurrent use.
type nameTable struct {
	known atomic.Pointer[map[string]string]
}

var canonicalNames nameTable

// get returns the canonical form of a name. It returns false unless the name consists of letters,
// digits, hyphens and underscores.
func (t *nameTable) get(name string) (string, bool) {
	known := t.known.Load()
	if known != nil {
		if canonical, ok := (*known)[name]; ok {
			return canonical, true
		}
	}
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return "", false
		}
	}
	canonical := http.CanonicalHeaderKey(name)
	if len(name) <= maxNameBytes && (known == nil || len(*known) < maxKnownNames) {
		t.add(known, name, canonical)
	}
	return canonical, true
}

// add keeps a name unless another one is being added.
func (t *nameTable) add(known *map[string]string, name, canonical string) {
	next := make(map[string]string)
	if known != nil {
		next = maps.Clone(*known)
	}
	// The name may be part of a longer string, which is not to be kept.
	owned := string([]byte(name))
	if canonical == name {
		canonical = owned
	}
	next[owned] = canonical
	t.known.CompareAndSwap(known, &next)
}

func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}
