// Package storesync keeps the directory and the configuration of this node in
// step with the platform's store: it follows both there and writes this node's
// own entry whenever it changes.
package storesync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/gossip"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

const (
	// minPause and maxPause bound the wait after a failed call. The longest is
	// below the two seconds within which a lapsed entry must be back.
	minPause = 150 * time.Millisecond
	maxPause = 1200 * time.Millisecond
	// gatherPause is how long changes of the directory are gathered before the
	// next watch: every watch is a call, and nodes tell each other news anyway.
	gatherPause = 250 * time.Millisecond
	// pollEvery is how often the nodes that reach each other together read the
	// configuration besides watching it, since a watch may hear nothing for seconds
	// before it is cut. It is a fraction of the time in which a configuration must
	// be in force.
	pollEvery = 400 * time.Millisecond
	// removeTimeout bounds the removal of an entry, which takes two calls.
	removeTimeout = 5 * time.Second
	// relistAfter is the number of failed watches in a row after which the whole
	// list is read again.
	relistAfter = 4
)

// Keys names what the syncer follows in the store.
type Keys struct {
	// ConfigPrefix holds the operators' configuration, whose key is Config.
	ConfigPrefix, Config string
	// NodesPrefix holds one entry for each node.
	NodesPrefix string
	// SettingsPrefix holds the settings tree.
	SettingsPrefix string
}

// Config holds what a Syncer needs.
type Config struct {
	Store     platform.Store
	Keys      Keys
	Directory *directory.Directory
	Document  *gossip.Document
	// LastExchange returns when this node last heard from another one.
	LastExchange func() time.Time
	// ReachableFraction returns the part of the other nodes that this one can exchange with.
	ReachableFraction func() float64
	Settings          *settings.Holder
	// SettingsChanged is called after the settings tree has changed.
	SettingsChanged func()
	Log             zerolog.Logger
	Scope           tally.Scope
}

// Syncer follows the store.
type Syncer struct {
	config Config
	// listed is set once the directory was read from the store.
	listed atomic.Bool
	// removed is set when this node's entry is no longer in the store.
	removed atomic.Bool
	changed chan struct{}
	calls   tally.Counter
	errors  tally.Counter
}

// New returns a syncer; Run starts it.
func New(config Config) *Syncer {
	return &Syncer{
		config: config, changed: make(chan struct{}, 1),
		calls: config.Scope.Counter("store_calls"), errors: config.Scope.Counter("store_errors"),
	}
}

// Listed reports whether the directory was read from the store since the start.
func (s *Syncer) Listed() bool {
	return s.listed.Load()
}

// Publish writes this node's entry soon.
func (s *Syncer) Publish() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Run follows the store until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	go s.follow(ctx, s.config.Keys.ConfigPrefix, 0, true, s.takeConfig)
	go s.follow(ctx, s.config.Keys.NodesPrefix, gatherPause, true, s.takeNodes)
	go s.follow(ctx, s.config.Keys.SettingsPrefix, gatherPause, false, s.takeSettings)
	go s.poll(ctx)
	s.publish(ctx)
}

// poll reads the configuration from time to time. What one node reads the others
// learn from it, so each reads more rarely the more nodes there are.
func (s *Syncer) poll(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pollEvery*4/3)
		if rand.Float64() >= s.share(1) {
			continue
		}
		s.calls.Inc(1)
		o, err := s.config.Store.Get(ctx, s.config.Keys.Config)
		if err != nil {
			s.errors.Inc(1)
			continue
		}
		s.config.Document.Apply(o.Value, "store")
	}
}

// follow lists a prefix and watches it from there on. When the nodes tell each
// other what is new there, spread is set and only a few of them watch.
func (s *Syncer) follow(ctx context.Context, prefix string, gather time.Duration, spread bool, take func(change)) {
	link := &dependency{log: s.config.Log, name: prefix}
	for ctx.Err() == nil {
		s.calls.Inc(1)
		listing, err := s.config.Store.List(ctx, prefix)
		if err != nil {
			s.errors.Inc(1)
			link.failed(err)
			sleep(ctx, link.pause())
			continue
		}
		link.succeeded()
		take(change{version: listing.Version, objects: listing.Objects, whole: true})
		s.watch(ctx, prefix, listing.Version, gather, spread, take, link)
	}
}

// watch returns when the list has to be read again.
func (s *Syncer) watch(ctx context.Context, prefix string, version int64, gather time.Duration, spread bool, take func(change), link *dependency) {
	for failures := 0; failures < relistAfter && ctx.Err() == nil; {
		if spread && s.awaitRole(ctx, prefix) {
			return
		}
		s.calls.Inc(1)
		events, err := s.config.Store.Watch(ctx, prefix, version)
		if errors.Is(err, platform.ErrCompacted) {
			s.config.Log.Info().Str("for", prefix).Int64("after", version).Msg("history of the store is gone, listing again")
			sleep(ctx, minPause)
			return
		}
		if err != nil {
			failures++
			s.errors.Inc(1)
			link.failed(err)
			sleep(ctx, link.pause())
			continue
		}
		failures = 0
		link.succeeded()
		version = max(version, events.Version)
		take(change{version: version, objects: events.Events})
		if len(events.Events) > 0 && gather > 0 {
			sleep(ctx, gather)
		}
	}
}

func (s *Syncer) takeConfig(c change) {
	for _, o := range c.objects {
		if o.Key == s.config.Keys.Config && !o.Deleted {
			s.config.Document.Apply(o.Value, "store")
		}
	}
}

func (s *Syncer) takeNodes(c change) {
	var entries []directory.Entry
	self := s.config.Directory.Self().Node
	for _, o := range c.objects {
		if o.Deleted {
			if o.Key == s.key(self) {
				s.removed.Store(true)
				s.Publish()
			}
			continue
		}
		var e directory.Entry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			s.config.Log.Warn().Err(err).Str("key", o.Key).Msg("entry not readable")
			continue
		}
		entries = append(entries, e)
	}
	s.listed.Store(true)
	s.config.Directory.Merge(entries)
}

// takeSettings puts the settings tree in force. A scope that is not valid is
// refused on its own and stays as it was.
func (s *Syncer) takeSettings(c change) {
	if len(c.objects) == 0 {
		return
	}
	changes := make([]settings.Object, 0, len(c.objects))
	for _, o := range c.objects {
		value := o.Value
		if o.Deleted {
			value = nil
		}
		changes = append(changes, settings.Object{Key: o.Key, Revision: o.Version, Value: value})
	}
	apply := s.config.Settings.Apply
	if c.whole {
		apply = s.config.Settings.ApplySnapshot
	}
	if err := apply(c.version, changes); err != nil {
		s.config.Log.Warn().Err(err).Int64("revision", c.version).Msg("settings refused")
	}
	s.config.Log.Info().Int64("revision", s.config.Settings.Revision()).Int("scopes", len(changes)).Msg("settings in force")
	s.config.SettingsChanged()
}

func (s *Syncer) key(node string) string {
	return s.config.Keys.NodesPrefix + node
}

// publish writes this node's entry after each change.
func (s *Syncer) publish(ctx context.Context) {
	link := &dependency{log: s.config.Log, name: "own entry"}
	var revision int64
	written := uint64(0)
	for {
		self := s.config.Directory.Self()
		if s.removed.Swap(false) {
			revision, written = 0, 0
		}
		if self.Upstream == nil || self.Version == written {
			select {
			case <-ctx.Done():
				return
			case <-s.changed:
			}
			continue
		}
		next, err := s.write(ctx, self, revision)
		if next > 0 {
			revision = next
		}
		if err == nil {
			written = self.Version
			link.succeeded()
			continue
		}
		if resultcode.From(err).Code == resultcode.ScopeNotFound {
			revision = 0
		}
		if resultcode.From(err).Code != resultcode.SettingsConflict {
			s.errors.Inc(1)
			link.failed(err)
			sleep(ctx, link.pause())
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// write makes one conditional write and returns the revision that is there now.
func (s *Syncer) write(ctx context.Context, self directory.Entry, revision int64) (int64, error) {
	value, err := json.Marshal(self)
	if err != nil {
		return 0, resultcode.Wrap(err, resultcode.Internal, "own entry")
	}
	s.calls.Inc(1)
	o, err := s.config.Store.Update(ctx, s.key(self.Node), revision, value)
	if err != nil && resultcode.From(err).Code == resultcode.SettingsConflict {
		s.takeNodes(change{objects: []platform.Object{o}})
	}
	return o.Version, err
}

// Remove deletes the entry of a dead node from the store, once: if that fails, or
// the node has written since, the entry stays and is removed by a later finding.
func (s *Syncer) Remove(ctx context.Context, node string) {
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	s.calls.Inc(2)
	o, err := s.config.Store.Get(ctx, s.key(node))
	if err == nil {
		err = s.config.Store.Delete(ctx, o.Key, o.Version)
	}
	if err != nil {
		s.errors.Inc(1)
		s.config.Log.Warn().Err(err).Str("entry", node).Msg("entry of a dead node not deleted")
	}
}

// sleep waits for a random part of the pause, at least half.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause/2 + rand.N(pause/2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
