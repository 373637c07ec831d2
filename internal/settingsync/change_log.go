package settingsync

import (
	"maps"
	"slices"
)

// changeLog holds the settings tree in force and the latest changes that led to it,
// which peers fetch. Its revision never decreases. It is not safe for concurrent
// use.
type changeLog struct {
	// maxChanges bounds the number of changes, maxBytes the sum of their values'
	// lengths.
	maxChanges, maxBytes int
	// revision is the revision in force, zero for the built-in defaults.
	revision int64
	// objects holds the newest change of each object that exists, by key.
	objects map[string]Change
	// changes holds the latest changes without a gap, in order of revision. It does
	// not include those that a snapshot brought.
	changes []Change
	// logBytes is the sum of the lengths of the values in changes.
	logBytes int
}

func newChangeLog(maxChanges, maxBytes int) *changeLog {
	return &changeLog{maxChanges: maxChanges, maxBytes: maxBytes, objects: map[string]Change{}}
}

// continues reports whether an update can be applied to the revision in force: it is
// newer, and it is a snapshot or its first change leaves no gap to that revision.
func (l *changeLog) continues(u Update) bool {
	if u.Revision <= l.revision {
		return false
	}
	return u.Snapshot || (len(u.Changes) > 0 && u.Changes[0].Previous <= l.revision)
}

// trim removes the changes that are already in force and keeps only the newest change
// of each object, so that an invalid change that a later one corrects is not refused.
// It returns a snapshot unchanged.
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
		l.objects = map[string]Change{}
		l.changes, l.logBytes = nil, 0
	}
	for _, c := range u.Changes {
		if c.Revision <= l.revision && !u.Snapshot {
			continue
		}
		if c.Deleted {
			delete(l.objects, c.Key)
		} else {
			l.objects[c.Key] = c
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

// since returns the update from revision after to the revision in force. It has no
// changes when after is the revision in force or higher. It is a snapshot when after
// is zero or the log does not hold all changes since then.
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
	for _, key := range slices.Sorted(maps.Keys(l.objects)) {
		u.Changes = append(u.Changes, l.objects[key])
	}
	return u
}

// sameObjects reports whether a listing holds exactly the objects in force, each at
// the same revision.
func (l *changeLog) sameObjects(changes []Change) bool {
	if len(changes) != len(l.objects) {
		return false
	}
	for _, c := range changes {
		if l.objects[c.Key].Revision != c.Revision {
			return false
		}
	}
	return true
}
