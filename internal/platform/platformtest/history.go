package platformtest

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/mustardwing/mustardwing/internal/platform"
)

// history keeps the objects and the most recent changes. The lock of its Store guards
// it.
type history struct {
	// version is that of the last change.
	version int64
	objects map[string]platform.Object
	// changes are the kept changes in the order of their versions.
	changes []platform.Object
	// compactedUpTo is the version up to which changes are no longer kept.
	compactedUpTo int64
	// maxChanges is the largest number of changes kept.
	maxChanges int
}

func newHistory(maxChanges int) *history {
	return &history{objects: make(map[string]platform.Object), maxChanges: maxChanges}
}

func (h *history) put(key string, value []byte) platform.Object {
	h.version++
	o := platform.Object{Key: key, Version: h.version, Value: append([]byte(nil), value...)}
	h.objects[key] = o
	h.record(o)
	return o
}

func (h *history) remove(key string) {
	h.version++
	delete(h.objects, key)
	h.record(platform.Object{Key: key, Version: h.version, Deleted: true})
}

// record appends a change and discards the oldest ones beyond maxChanges.
func (h *history) record(o platform.Object) {
	h.changes = append(h.changes, o)
	if len(h.changes) > h.maxChanges {
		h.compact(len(h.changes) - h.maxChanges)
	}
}

// compact discards the n oldest changes.
func (h *history) compact(n int) {
	if n == 0 {
		return
	}
	h.compactedUpTo = h.changes[n-1].Version
	h.changes = append([]platform.Object(nil), h.changes[n:]...)
}

func (h *history) list(prefix string) platform.Listing {
	l := platform.Listing{Version: h.version, Objects: []platform.Object{}}
	for key, o := range h.objects {
		if strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, clone(o))
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l
}

// after returns the changes under prefix that are newer than version; ok is
// false when changes newer than version, under any prefix, are no longer kept, or when there
// is no such version.
func (h *history) after(prefix string, version int64) (changes []platform.Object, ok bool) {
	if version < h.compactedUpTo || version > h.version {
		return nil, false
	}
	first := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].Version > version })
	changes = []platform.Object{}
	for _, o := range h.changes[first:] {
		if strings.HasPrefix(o.Key, prefix) {
			changes = append(changes, clone(o))
		}
	}
	return changes, true
}

// copy returns a copy that later changes do not affect.
func (h *history) copy() *history {
	c := *h
	c.objects = maps.Clone(h.objects)
	c.changes = slices.Clone(h.changes)
	return &c
}

func clone(o platform.Object) platform.Object {
	o.Value = append([]byte(nil), o.Value...)
	return o
}
