package settingsync

import (
	"maps"
	"slices"
)

// changeLog holds the settings tree in force and the latest changes that led to it,
// which peers fetch. Its revision never decreases. It is not safe for concurrent
// use.
type changeLog struct {
	maxChanges, maxBytes int
	revision             int64
	scopes               map[string]Change
	changes              []Change
	logBytes             int
}

func newChangeLog(maxChanges, maxBytes int) *changeLog {
	return &changeLog{maxChanges: maxChanges, maxBytes: maxBytes, scopes: map[string]Change{}}
}

// continues reports whether an update can be applied to the revision in force: it is
// newer, and either a snapshot or a sequence of changes without a gap.
func (l *changeLog) continues(u Update) bool {
	if u.Revision <= l.revision {
		return false
	}
	return u.Snapshot || (len(u.Changes) > 0 && u.Changes[0].Previous <= l.revision)
}

// trim removes the changes that are already in force and keeps only the newest one
// of each scope, so that an invalid change is not checked without its correction.
func (l *changeLog) trim(u Update) Update {
	if u.Snapshot {
		return u
	}
	newest := map[string]int64{}
	for _, c := range u.Changes {
		newest[c.Key] = c.Revision
	}
	trimmed := Update{Revision: u.Revision}
	for _, c := range u.Changes {
		if c.Revision > l.revision && newest[c.Key] == c.Revision {
			trimmed.Changes = append(trimmed.Changes, c)
		}
	}
	return trimmed
}

// commit records an applied update as the state in force.
func (l *changeLog) commit(u Update) {
	if u.Snapshot {
		l.scopes = map[string]Change{}
		l.changes, l.logBytes = nil, 0
	}
	for _, c := range u.Changes {
		if c.Revision <= l.revision && !u.Snapshot {
			continue
		}
		if c.Deleted {
			delete(l.scopes, c.Key)
		} else {
			l.scopes[c.Key] = c
		}
		if !u.Snapshot {
			l.append(c)
		}
	}
	l.revision = u.Revision
}

func (l *changeLog) append(c Change) {
	l.changes = append(l.changes, c)
	l.logBytes += len(c.Value)
	for len(l.changes) > l.maxChanges || l.logBytes > l.maxBytes {
		l.logBytes -= len(l.changes[0].Value)
		l.changes[0] = Change{}
		l.changes = l.changes[1:]
	}
}

// since returns the update that brings a node from revision after up to date. It is
// a snapshot when the changes since then are no longer kept.
func (l *changeLog) since(after int64) Update {
	if after >= l.revision {
		return Update{Revision: l.revision}
	}
	if len(l.changes) > 0 && l.changes[0].Previous <= after && after > 0 {
		first, _ := slices.BinarySearchFunc(l.changes, after+1, func(c Change, revision int64) int {
			return int(c.Revision - revision)
		})
		return Update{Revision: l.revision, Changes: slices.Clone(l.changes[first:])}
	}
	return l.snapshot()
}

// snapshot returns the whole tree, sorted by key.
func (l *changeLog) snapshot() Update {
	u := Update{Revision: l.revision, Snapshot: true}
	for _, key := range slices.Sorted(maps.Keys(l.scopes)) {
		u.Changes = append(u.Changes, l.scopes[key])
	}
	return u
}

// sameScopes reports whether a listing holds exactly the scopes in force, each at
// the same revision.
func (l *changeLog) sameScopes(changes []Change) bool {
	if len(changes) != len(l.scopes) {
		return false
	}
	for _, c := range changes {
		if l.scopes[c.Key].Revision != c.Revision {
			return false
		}
	}
	return true
}
