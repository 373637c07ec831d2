package settingsync

import (
	"context"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/pause"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// watch applies the changes in the store while this node has the watcher role. It backs
// off after a failed store call, after a listing that leaves the revision in force
// unchanged, and when the store's version went backwards.
func (s *Syncer) watch(ctx context.Context) {
	backoff := s.cfg.MinBackoff
	for {
		wait := s.cfg.RoleInterval/2 + s.jitter(s.cfg.RoleInterval)
		if s.cfg.Members.Holds(membership.RoleSettingsWatcher) {
			err := s.watchOnce(ctx)
			switch {
			case err == nil:
				backoff = s.cfg.MinBackoff
				wait = 0
			default:
				wait = backoff/2 + s.jitter(backoff)
				backoff = min(2*backoff, s.cfg.MaxBackoff)
			}
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

// watchOnce waits for changes after the revision in force, or after a newer one that
// was refused, and applies them. It lists the whole tree instead when the built-in
// defaults are in force, when a listing is required, or when the watch fails because the
// store has compacted the changes.
func (s *Syncer) watchOnce(ctx context.Context) error {
	revision := s.Revision()
	if revision == 0 || s.isListRequired() {
		return s.list(ctx)
	}
	if refused := s.Report().Refused; refused > revision {
		// Watching from the refused revision avoids receiving it again and again.
		revision = refused
	}
	events, err := s.waitForEvents(ctx, revision)
	if errors.Is(err, platform.ErrCompacted) {
		return s.list(ctx)
	}
	if err != nil {
		return err
	}
	if events.Version < revision {
		return s.reportVersionRegression(events.Version)
	}
	if len(events.Events) == 0 {
		return nil
	}
	return s.applyEvents(ctx, events)
}

// waitForEvents returns the changes after a revision. It cancels the watch when this
// node loses the watcher role.
func (s *Syncer) waitForEvents(ctx context.Context, after int64) (platform.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WatchTimeout)
	defer cancel()
	go func() {
		for pause.For(ctx, s.cfg.RoleInterval) {
			if !s.cfg.Members.Holds(membership.RoleSettingsWatcher) {
				cancel()
			}
		}
	}()
	return s.cfg.Store.Watch(ctx, KeyPrefix, after)
}

// applyEvents applies events that follow the revision in force. While a newer revision
// is refused, the watch begins at that revision, and its events leave out the changes up
// to it. applyEvents then lists the whole tree and applies the listing instead.
func (s *Syncer) applyEvents(ctx context.Context, events platform.Events) error {
	report := s.Report()
	if report.Refused > report.Revision {
		return s.list(ctx)
	}
	update := Update{}
	previous := report.Revision
	for _, object := range events.Events {
		change := fromObject(object)
		change.Previous = previous
		previous = change.Revision
		update.Changes = append(update.Changes, change)
	}
	update.Revision = previous
	if err := s.applyIfNewer(update, SourcePlatform); errors.Is(err, ErrGap) {
		return s.list(ctx)
	}
	// A refusal is recorded in the report and does not delay the next watch.
	return nil
}

// list reads the whole tree from the store and applies it. It returns an error
// whenever the revision in force stays the same, so that watch waits before the next
// call.
func (s *Syncer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ListTimeout)
	defer cancel()
	listing, err := s.cfg.Store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	revision := s.Revision()
	if listing.Version < revision {
		return s.reportVersionRegression(listing.Version)
	}
	update := Update{Snapshot: true}
	for _, object := range listing.Objects {
		update.Changes = append(update.Changes, fromObject(object))
		update.Revision = max(update.Revision, object.Version)
	}
	if update.Revision <= revision {
		// Objects may have been deleted after the newest change in the listing, which
		// does not show deletions.
		s.mu.Lock()
		same := s.changeLog.sameObjects(update.Changes)
		s.mu.Unlock()
		if same {
			s.setListRequired(false)
			return errRevisionUnchanged
		}
		update.Revision = listing.Version
	}
	if err := s.applyIfNewer(update, SourcePlatform); err != nil || s.Revision() == revision {
		return errRevisionUnchanged
	}
	s.setListRequired(false)
	return nil
}

func (s *Syncer) isListRequired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listRequired
}

func (s *Syncer) setListRequired(required bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listRequired = required
}

// errRevisionUnchanged is the error of a listing that left the revision in force
// unchanged, because it held nothing newer or because Apply refused it. It makes watch
// back off before its next call.
var errRevisionUnchanged = errors.New("settingsync: the listing left the revision in force unchanged")

// reportVersionRegression records, and returns as an error, that the store's version is
// below the revision in force at this node, or below a newer one that the node refused,
// for example because the store was restored to an earlier state. It also requires a
// listing. The settings stay in force until the store's version has passed their
// revision.
func (s *Syncer) reportVersionRegression(version int64) error {
	err := resultcode.New(resultcode.PlatformMalformed, "the store is at version %d, below settings revision %d in force; expected a version that only rises", version, s.Revision())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Err = err
	s.listRequired = true
	return err
}
