package storesync

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// restoreDelay is how long the store has to hold an older entry than this node, while this
	// node can read it, before a watcher writes the newer one. It is longer than a node that
	// can reach the store takes to write its own entry.
	restoreDelay = 3 * time.Second
	// restoreInterval is the time between two checks for such entries.
	restoreInterval = time.Second
	// maxRestored bounds the writes of one check.
	maxRestored = 16
)

// restorer keeps track of the entries that the store holds in older versions than this node. The
// node of such an entry may have ended, or be refused by the store, before it could write it. If
// all nodes then restarted, they would use an upstream that has left.
type restorer struct {
	mu sync.Mutex
	// stored holds what the store has for each node, nil unless this node has listed it.
	stored map[string]storedEntry
	// staleSince holds when an older entry of a node was first noticed in the store.
	staleSince map[string]time.Time
	// failedAt is when a call that follows the entries failed last.
	failedAt time.Time
}

// storedEntry is the revision of an entry in the store and its version, zero if it cannot be
// read.
type storedEntry struct {
	revision int64
	version  uint64
}

// needsRestore reports whether a known entry belongs into the store in place of what is there. A
// node that has no upstream yet writes no entry. An entry that the store lacks is written by its
// node only.
func needsRestore(known directory.Entry, stored storedEntry, inStore bool) bool {
	return inStore && known.Version > stored.version && (known.Leaving || known.Removed || known.Upstream != nil)
}

// reset forgets what the store holds, before it is listed.
func (r *restorer) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = make(map[string]storedEntry)
	r.staleSince = make(map[string]time.Time)
}

// stop ends the tracking when this node no longer follows the entries.
func (r *restorer) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored, r.staleSince = nil, nil
}

// noteFailure records that a call that follows the entries failed.
func (r *restorer) noteFailure(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = now
}

// noteStored records what the store holds for a node. A nil entry was deleted.
func (r *restorer) noteStored(node string, e *storedEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e == nil {
		delete(r.stored, node)
		delete(r.staleSince, node)
	} else if r.stored != nil {
		r.stored[node] = *e
	}
}

// compare notices whether the store holds an older version of a known entry.
func (r *restorer) compare(now time.Time, known directory.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stored == nil {
		return
	}
	stored, inStore := r.stored[known.Node]
	if !needsRestore(known, stored, inStore) {
		delete(r.staleSince, known.Node)
	} else if _, noticed := r.staleSince[known.Node]; !noticed {
		r.staleSince[known.Node] = now
	}
}

// due returns the nodes whose entries have been stale for the delay, with what the store has. It
// returns none before the store has been available for the delay.
func (r *restorer) due(now time.Time, delay time.Duration) map[string]storedEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := make(map[string]storedEntry)
	if now.Sub(r.failedAt) < delay {
		return due
	}
	for node, since := range r.staleSince {
		if now.Sub(since) >= delay && len(due) < maxRestored {
			due[node] = r.stored[node]
		}
	}
	return due
}

// EntriesChanged compares changed entries of the directory with those in the store. It makes no
// call to the store.
func (s *Syncer) EntriesChanged(changed []directory.Entry) {
	now := time.Now()
	for _, e := range changed {
		if e.Node != s.config.Directory.Self().Node {
			s.restorer.compare(now, e)
		}
	}
}

// restore writes entries of other nodes that the store holds in older versions, until ctx ends.
// The watchers take turns: the first has the shortest delay, so that the others write nothing
// unless the store refuses the first.
func (s *Syncer) restore(ctx context.Context) {
	for ctx.Err() == nil {
		sleepJittered(ctx, restoreInterval)
		if !s.shouldWatch(s.config.Keys.NodesPrefix) {
			s.restorer.stop()
			continue
		}
		if s.isolated() {
			// What this node knows of the others is old.
			continue
		}
		delay := restoreDelay * time.Duration(1+s.watcherRank(s.config.Keys.NodesPrefix))
		for node, stored := range s.restorer.due(time.Now(), delay) {
			known, ok := s.config.Directory.Get(node)
			if !ok {
				continue
			}
			if err := s.restoreEntry(ctx, known, stored); err != nil {
				s.errors.Inc(1)
				s.restorer.noteFailure(time.Now())
				break
			}
		}
	}
}

// restoreEntry puts a known entry into the store in place of an older one, or deletes that if the
// node is dead. A conflict is not an error: the watch shows who was faster.
func (s *Syncer) restoreEntry(ctx context.Context, known directory.Entry, stored storedEntry) error {
	s.config.Log.Info().Str("entry", known.Node).Uint64("version", known.Version).Uint64("in_store", stored.version).
		Bool("leaving", known.Leaving).Bool("removed", known.Removed).Msg("store has an older entry; writing the newer one")
	s.calls.Inc(1)
	var o platform.Object
	var err error
	if known.Removed {
		err = s.config.Store.Delete(ctx, s.key(known.Node), stored.revision)
	} else {
		var value []byte
		if value, err = json.Marshal(known); err != nil {
			return resultcode.Wrap(err, resultcode.Internal, "encode the entry of node %q", known.Node)
		}
		o, err = s.config.Store.Update(ctx, s.key(known.Node), stored.revision, value)
	}
	s.observeEra()
	switch {
	case err == nil && known.Removed:
		s.restorer.noteStored(known.Node, nil)
	case err == nil:
		s.restorer.noteStored(known.Node, &storedEntry{revision: o.Version, version: known.Version})
	case resultcode.From(err).Code != resultcode.SettingsConflict && resultcode.From(err).Code != resultcode.ScopeNotFound:
		return err
	}
	s.restorer.compare(time.Now(), known)
	return nil
}
