package settingsync

import (
	"maps"
	"slices"
)

// history is the tree in force and the latest changes that led to it. It only
// moves forward. It is not safe for concurrent use.
type history struct {
	maxChanges, maxBytes int
	revision             int64
	scopes               map[string]Change
	log                  []Change
	logBytes             int
}

func newHistory(maxChanges, maxBytes int) *history {
	return &history{maxChanges: maxChanges, maxBytes: maxBytes, scopes: map[string]Change{}}
}

// continues reports whether an update can be applied to what is in force.
func (h *history) continues(u Update) bool {
	if u.Revision <= h.revision {
		return false
	}
	return u.Snapshot || (len(u.Changes) > 0 && u.Changes[0].Previous <= h.revision)
}

// trim removes the changes that are in force already and keeps the newest of
// each scope, so that a faulty change and its correction are judged together.
func (h *history) trim(u Update) Update {
	if u.Snapshot {
		return u
	}
	newest := map[string]int64{}
	for _, c := range u.Changes {
		newest[c.Key] = c.Revision
	}
	trimmed := Update{Revision: u.Revision}
	for _, c := range u.Changes {
		if c.Revision > h.revision && newest[c.Key] == c.Revision {
			trimmed.Changes = append(trimmed.Changes, c)
		}
	}
	return trimmed
}

// record makes an applied update the state in force.
func (h *history) record(u Update) {
	if u.Snapshot {
		h.scopes = map[string]Change{}
		h.log, h.logBytes = nil, 0
	}
	for _, c := range u.Changes {
		if c.Revision <= h.revision && !u.Snapshot {
			continue
		}
		if c.Deleted {
			delete(h.scopes, c.Key)
		} else {
			h.scopes[c.Key] = c
		}
		if !u.Snapshot {
			h.append(c)
		}
	}
	h.revision = u.Revision
}

func (h *history) append(c Change) {
	h.log = append(h.log, c)
	h.logBytes += len(c.Value)
	for len(h.log) > h.maxChanges || h.logBytes > h.maxBytes {
		h.logBytes -= len(h.log[0].Value)
		h.log[0] = Change{}
		h.log = h.log[1:]
	}
}

// since returns the update that brings a node at revision after up to date.
func (h *history) since(after int64) Update {
	if after >= h.revision {
		return Update{Revision: h.revision}
	}
	if len(h.log) > 0 && h.log[0].Previous <= after && after > 0 {
		first, _ := slices.BinarySearchFunc(h.log, after+1, func(c Change, revision int64) int {
			return int(c.Revision - revision)
		})
		return Update{Revision: h.revision, Changes: slices.Clone(h.log[first:])}
	}
	return h.snapshot()
}

// snapshot returns the whole tree in the order of keys.
func (h *history) snapshot() Update {
	u := Update{Revision: h.revision, Snapshot: true}
	for _, key := range slices.Sorted(maps.Keys(h.scopes)) {
		u.Changes = append(u.Changes, h.scopes[key])
	}
	return u
}

// sameScopes reports whether a listing holds exactly the scopes in force.
func (h *history) sameScopes(changes []Change) bool {
	if len(changes) != len(h.scopes) {
		return false
	}
	for _, c := range changes {
		if h.scopes[c.Key].Revision != c.Revision {
			return false
		}
	}
	return true
}
