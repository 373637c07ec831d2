package settingsync

import (
	"context"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// watch follows the store while this node has the watcher role.
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
		if !pause(ctx, wait) {
			return
		}
	}
}

// watchOnce waits for changes after the revision in force. A node without
// settings, or with ones whose successors the store forgot, lists them.
func (s *Syncer) watchOnce(ctx context.Context) error {
	revision := s.Revision()
	if revision == 0 || s.listOnly() {
		return s.list(ctx)
	}
	if refused := s.Report().Refused; refused > revision {
		// Waiting from the refused revision avoids fetching it again and again.
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
		return s.wentBackwards(events.Version)
	}
	if len(events.Events) == 0 {
		return nil
	}
	return s.offerEvents(ctx, events)
}

// waitForEvents ends the watch early when the role is lost.
func (s *Syncer) waitForEvents(ctx context.Context, after int64) (platform.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WatchTimeout)
	defer cancel()
	go func() {
		for pause(ctx, s.cfg.RoleInterval) {
			if !s.cfg.Members.Holds(membership.RoleSettingsWatcher) {
				cancel()
			}
		}
	}()
	return s.cfg.Store.Watch(ctx, KeyPrefix, after)
}

// offerEvents applies events that continue what is in force. After a refusal
// they do not continue it, and the whole tree is judged again.
func (s *Syncer) offerEvents(ctx context.Context, events platform.Events) error {
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
	if err := s.offer(update, SourcePlatform); errors.Is(err, ErrGap) {
		return s.list(ctx)
	}
	// A refusal is reported, and is no reason to wait before the next watch.
	return nil
}

// list offers the whole tree.
func (s *Syncer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ListTimeout)
	defer cancel()
	listing, err := s.cfg.Store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	revision := s.Revision()
	if listing.Version < revision {
		return s.wentBackwards(listing.Version)
	}
	update := Update{Snapshot: true}
	for _, object := range listing.Objects {
		update.Changes = append(update.Changes, fromObject(object))
		update.Revision = max(update.Revision, object.Version)
	}
	if update.Revision <= revision {
		// Scopes were removed after the newest change that is left.
		s.mu.Lock()
		same := s.history.sameScopes(update.Changes)
		s.mu.Unlock()
		if same {
			s.setListOnly(false)
			return errNothing
		}
		update.Revision = listing.Version
	}
	if err := s.offer(update, SourcePlatform); err != nil || s.Revision() == revision {
		return errNothing
	}
	s.setListOnly(false)
	return nil
}

func (s *Syncer) listOnly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mustList
}

func (s *Syncer) setListOnly(only bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mustList = only
}

// errNothing makes the watcher wait before it lists again.
var errNothing = errors.New("settingsync: nothing to apply")

// wentBackwards reports a store that lost versions this node has in force. The
// settings in force stay until the store's version has passed them.
func (s *Syncer) wentBackwards(version int64) error {
	err := resultcode.New(resultcode.PlatformMalformed, "the store is at version %d, below settings revision %d in force; expected a version that only rises", version, s.Revision())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Err = err
	s.mustList = true
	return err
}
