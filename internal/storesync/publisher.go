package storesync

import (
	"context"
	"encoding/json"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// publication is what this node knows of its entry in the store.
type publication struct {
	// revision is the revision of the entry in the store, zero if there is none.
	revision int64
	// version is the Version of the entry that was written last, zero before the first write
	// and after the store has lost or deleted the entry.
	version uint64
}

// publish writes this node's entry after each change of the entry, and again after the store
// has lost or deleted it, until ctx ends. It writes nothing before the upstream has announced
// itself.
func (s *Syncer) publish(ctx context.Context) {
	backoff := &callBackoff{log: s.config.Log, name: "local entry"}
	var last publication
	for ctx.Err() == nil {
		self := s.config.Directory.Self()
		if s.entryDeleted.Swap(false) {
			last = publication{}
		}
		if revision := s.foreignRevision.Swap(0); revision > last.revision {
			last = publication{revision: revision}
		}
		var err error
		switch {
		case s.entryUncertain.Swap(false):
			last, err = s.readPublication(ctx, self.Node)
			if err != nil {
				s.entryUncertain.Store(true)
			}
		case self.Upstream == nil || self.Version == last.version:
			select {
			case <-ctx.Done():
			case <-s.publishSignal:
			}
			continue
		default:
			last, err = s.write(ctx, self, last)
		}
		if err == nil {
			backoff.succeeded()
			continue
		}
		s.errors.Inc(1)
		backoff.failed(err)
		sleepJittered(ctx, backoff.delay())
	}
}

// readPublication reads this node's entry from the store when that may have lost it or hold
// another in its place. Another entry has to be replaced; merging it raises the version of this
// node's entry above it.
func (s *Syncer) readPublication(ctx context.Context, node string) (publication, error) {
	s.spreadCalls(ctx)
	s.calls.Inc(1)
	o, err := s.config.Store.Get(ctx, s.key(node))
	s.observeEra()
	if err != nil && resultcode.From(err).Code == resultcode.ScopeNotFound {
		return publication{}, nil
	}
	if err != nil {
		return publication{}, err
	}
	e, err := s.decodeEntry(o)
	if err != nil {
		s.config.Refusals.Note(o.Key, err)
		return publication{revision: o.Version}, nil
	}
	if self := s.config.Directory.Self(); !e.Same(self) {
		if e.Version >= self.Version {
			s.config.Directory.Merge([]directory.Entry{e})
		}
		return publication{revision: o.Version}, nil
	}
	return publication{revision: o.Version, version: e.Version}, nil
}

// write makes one conditional write of this node's entry and returns the publication after it.
// A conflict is not an error: write then merges the entry in the store, which raises the
// version of this node's entry if necessary, and the next write is conditional on it. It is an
// error only if the store names the revision that was the condition.
func (s *Syncer) write(ctx context.Context, self directory.Entry, last publication) (publication, error) {
	value, err := json.Marshal(self)
	if err != nil {
		return last, resultcode.Wrap(err, resultcode.Internal, "encode the local entry")
	}
	s.calls.Inc(1)
	o, err := s.config.Store.Update(ctx, s.key(self.Node), last.revision, value)
	s.observeEra()
	if err == nil {
		return publication{revision: o.Version, version: self.Version}, nil
	}
	switch resultcode.From(err).Code {
	case resultcode.SettingsConflict:
		if o.Version == last.revision {
			return last, err
		}
		if o.Version > 0 {
			s.applyEntries(change{objects: []platform.Object{o}})
		}
		return publication{revision: o.Version}, nil
	case resultcode.ScopeNotFound:
		return publication{}, err
	}
	if o.Version > 0 {
		last.revision = o.Version
	}
	return last, err
}
