// Package storesync synchronizes the directory, the configuration and the settings of
// this node with the platform's store: it lists and watches all three in the store, and
// writes this node's entry there whenever the entry changes.
package storesync

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/gossip"
	"github.com/mustardwing/mustardwing/internal/pause"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/supervise"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed call. The maximum is
	// below the two seconds after an outage within which a missing entry must be restored.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// batchDelay is how long changes of the directory and the settings are batched
	// before the next watch, since every watch is a call. Nodes also receive updates
	// of the directory from each other.
	batchDelay = 250 * time.Millisecond
	// pollInterval is the mean interval at which the nodes that can reach each other, all
	// taken together, read the configuration in addition to watching it, since a watch
	// may receive nothing for seconds before it is closed. It is a fraction of the time
	// within which a configuration must be in force.
	pollInterval = 400 * time.Millisecond
	// removeTimeout bounds the deletion of an entry, which takes two calls.
	removeTimeout = 5 * time.Second
	// configWatchDelay is the time from the start to the first watch of the configuration. By
	// then nodes that start together know each other, and few of them watch. Until then the
	// configuration is polled and received from peers.
	configWatchDelay = 2 * time.Second
	// relistAfter is the number of consecutive failed watches after which the prefix is
	// listed again.
	relistAfter = 4
	// spreadCallsPerSecond is the rate at which all nodes together list the settings, and at
	// which they read their entries, after a return of the store. Both are half of the reads
	// that the store accepts.
	spreadCallsPerSecond = 500
)

// Keys holds the keys and prefixes that the syncer follows in the store.
type Keys struct {
	// ConfigPrefix is the prefix of the operators' configuration, whose key is Config.
	ConfigPrefix, Config string
	// NodesPrefix is the prefix of the nodes' entries.
	NodesPrefix string
	// SettingsPrefix is the prefix of the settings tree.
	SettingsPrefix string
}

// Config holds what a Syncer needs.
type Config struct {
	Store     platform.EraStore
	Keys      Keys
	Directory *directory.Directory
	Document  *gossip.Document
	StoreEra  *gossip.StoreEra
	// StoreTrouble receives the failures of this node's calls, and says whether other nodes have some.
	StoreTrouble *gossip.StoreTrouble
	// LastReceived returns when this node last received a message from a peer.
	LastReceived func() time.Time
	// ReachableFraction returns the fraction of the other nodes that this node can exchange
	// with.
	ReachableFraction func() float64
	// OnSpoiled, unless nil, is called with the nodes in the place of whose entries the store
	// holds something else, so that they are told to write them again.
	OnSpoiled func(nodes []string)
	// Refusals receives the entries in the store that are refused.
	Refusals *directory.Refusals
	Settings *settings.Holder
	// SettingsChanged is called after the settings tree has changed.
	SettingsChanged func()
	Log             zerolog.Logger
	Scope           tally.Scope
}

// Syncer follows the store and publishes this node's entry there.
type Syncer struct {
	config Config
	// listed is set by the first call of applyEntries, which normally applies all entries in
	// the store, but after a conflicting write only this node's own.
	listed atomic.Bool
	// entryDeleted is set when this node's entry was deleted from the store, until publish
	// takes notice of it.
	entryDeleted atomic.Bool
	// entryUncertain is set when the store may have lost this node's entry or hold another in its
	// place, until publish has read it.
	entryUncertain atomic.Bool
	// foreignRevision is the highest revision at which the store had something else in the
	// place of this node's entry, until publish takes notice of it.
	foreignRevision atomic.Int64
	restorer        restorer
	// failedCalls is the number of calls to the store that failed since the last successful one.
	failedCalls atomic.Int64
	// started is when Run was called, nil before.
	started atomic.Pointer[time.Time]
	// ranks holds the watcherRank of each prefix.
	ranksMu sync.Mutex
	ranks   map[string]rank
	// publishSignal wakes publish.
	publishSignal chan struct{}
	// calls counts the calls to the store, errors those that failed, except conflicting
	// writes of this node's entry and watches that asked for compacted history.
	calls  tally.Counter
	errors tally.Counter
}

// New returns a syncer that does nothing until Run is called.
func New(config Config) *Syncer {
	s := &Syncer{
		config: config, publishSignal: make(chan struct{}, 1), ranks: make(map[string]rank),
		calls: config.Scope.Counter("store_calls"), errors: config.Scope.Counter("store_errors"),
	}
	config.StoreEra.OnReturn(s.CheckEntry)
	return s
}

// Listed reports whether entries have been read from the store since the start: normally
// all of them, after a conflicting write perhaps only this node's own.
func (s *Syncer) Listed() bool {
	return s.listed.Load()
}

// Publish makes Run write this node's entry if it changed since the last write or was
// deleted from the store. It does not wait for the write.
func (s *Syncer) Publish() {
	select {
	case s.publishSignal <- struct{}{}:
	default:
	}
}

// Run follows the store and publishes this node's entry until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	now := time.Now()
	s.started.Store(&now)
	work := map[string]func(){
		"configuration": func() { s.follow(ctx, s.config.Keys.ConfigPrefix, 0, true, s.applyConfig) },
		"entries":       func() { s.follow(ctx, s.config.Keys.NodesPrefix, batchDelay, true, s.applyEntries) },
		"settings":      func() { s.follow(ctx, s.config.Keys.SettingsPrefix, batchDelay, false, s.applySettings) },
		"poll":          func() { s.poll(ctx) },
		"restore":       func() { s.restore(ctx) },
	}
	for name, f := range work {
		go supervise.Loop(ctx, s.config.Log, name, f)
	}
	supervise.Loop(ctx, s.config.Log, "local entry", func() { s.publish(ctx) })
}

// observeEra records the era that the store's responses so far have stated.
func (s *Syncer) observeEra() {
	s.config.StoreEra.Observe(s.config.Store.Era())
}

// poll reads the configuration at random intervals. The other nodes learn it from the one
// that reads it, so each node reads less often the more nodes there are.
func (s *Syncer) poll(ctx context.Context) {
	for ctx.Err() == nil {
		// The mean of the jittered delay is three quarters of its limit.
		sleepJittered(ctx, pollInterval*4/3)
		if rand.Float64() >= s.share(s.polls()) {
			continue
		}
		s.calls.Inc(1)
		sent := time.Now()
		o, err := s.config.Store.Get(ctx, s.config.Keys.Config)
		s.observeEra()
		s.noteCall(err)
		if err != nil {
			s.errors.Inc(1)
			continue
		}
		s.config.Document.ApplyStored(o.Value, sent)
	}
}

// follow lists a prefix, watches it from the listed version on, and calls apply with each
// result, until ctx ends. After a watch that received changes it waits for half of batch
// to all of it.
// Gossiped is set if nodes also disseminate the changes under the prefix by gossip; then
// only a few nodes watch it.
func (s *Syncer) follow(ctx context.Context, prefix string, batch time.Duration, gossiped bool, apply func(change)) {
	backoff := &callBackoff{log: s.config.Log, name: prefix}
	// applied is set once a listing was applied, and appliedEra is the era of the latest one.
	var applied bool
	var appliedEra uint64
	for ctx.Err() == nil {
		if gossiped && applied {
			s.awaitWatcherRole(ctx, prefix)
		}
		eraCtx, cancel := s.config.StoreEra.Context(ctx)
		listing, era, err := s.list(eraCtx, prefix)
		switch {
		case err != nil && eraCtx.Err() == nil:
			s.noteFailedCall(prefix)
			backoff.failed(err)
			sleepJittered(ctx, backoff.delay())
		case err == nil:
			backoff.succeeded()
			s.noteSkipped(prefix, listing.Skipped)
			apply(change{version: listing.Version, objects: listing.Objects, snapshot: true, returned: applied && era != appliedEra})
			if !applied && prefix == s.config.Keys.ConfigPrefix {
				pause.For(eraCtx, time.Until(s.startedAt().Add(configWatchDelay)))
			}
			applied, appliedEra = true, era
			s.watch(eraCtx, prefix, listing.Version, batch, gossiped, apply, backoff)
		}
		if eraCtx.Err() != nil && !gossiped {
			s.spreadCalls(ctx)
		}
		cancel()
	}
}

// list lists a prefix. It returns the era that was known before, or after the first call to
// the store the era that this call has stated.
func (s *Syncer) list(ctx context.Context, prefix string) (platform.Listing, uint64, error) {
	era := s.config.StoreEra.Current()
	s.calls.Inc(1)
	listing, err := s.config.Store.List(ctx, prefix)
	s.observeEra()
	if ctx.Err() == nil {
		s.noteCall(err)
	}
	if era == 0 {
		era = s.config.StoreEra.Current()
	}
	return listing, era, err
}

// spreadCalls waits for a random part of the time over which all nodes together spread the
// calls that each of them makes after a return of the store.
func (s *Syncer) spreadCalls(ctx context.Context) {
	pause.For(ctx, rand.N(time.Duration(s.config.Directory.Size())*time.Second/spreadCallsPerSecond))
}

// watch applies the changes under a prefix until the prefix has to be listed again or
// ctx ends.
func (s *Syncer) watch(ctx context.Context, prefix string, version int64, batch time.Duration, gossiped bool, apply func(change), backoff *callBackoff) {
	for failures := 0; failures < relistAfter && ctx.Err() == nil; {
		if gossiped && !s.shouldWatch(prefix) {
			return
		}
		s.calls.Inc(1)
		events, err := s.config.Store.Watch(ctx, prefix, version)
		s.observeEra()
		if ctx.Err() != nil {
			return
		}
		s.noteCall(err)
		if errors.Is(err, platform.ErrCompacted) {
			s.config.Log.Info().Str("for", prefix).Int64("after", version).Msg("store history was compacted; listing the prefix again")
			sleepJittered(ctx, minBackoff)
			return
		}
		if err != nil {
			failures++
			s.noteFailedCall(prefix)
			backoff.failed(err)
			sleepJittered(ctx, backoff.delay())
			continue
		}
		failures = 0
		backoff.succeeded()
		s.noteSkipped(prefix, events.Skipped)
		version = max(version, events.Version)
		apply(change{version: version, objects: events.Events})
		if len(events.Events) > 0 && batch > 0 {
			sleepJittered(ctx, batch)
		}
	}
}

// noteFailedCall counts a failed call that follows a prefix.
func (s *Syncer) noteFailedCall(prefix string) {
	s.errors.Inc(1)
	if prefix == s.config.Keys.NodesPrefix {
		s.restorer.noteFailure(time.Now())
	}
}

// noteSkipped counts and logs objects that the store returned in a form that cannot be read.
func (s *Syncer) noteSkipped(prefix string, count int) {
	if count == 0 {
		return
	}
	s.errors.Inc(int64(count))
	s.config.Log.Warn().Str("for", prefix).Int("objects", count).Msg("objects of the store cannot be read; the others stay in force")
}

// applyConfig puts a changed configuration in force. A deletion leaves the configuration
// in force.
func (s *Syncer) applyConfig(c change) {
	for _, o := range c.objects {
		if o.Key == s.config.Keys.Config && !o.Deleted {
			s.config.Document.ApplyStored(o.Value, time.Now())
		}
	}
}

// applyEntries merges changed entries into the directory and refuses those that are not valid.
// A deletion has no effect there, but a deleted entry of this node is written again, and so is
// one that another writer has replaced.
func (s *Syncer) applyEntries(c change) {
	var entries []directory.Entry
	var spoiled []string
	self := s.config.Directory.Self()
	if c.snapshot {
		s.restorer.reset()
	}
	for _, o := range c.objects {
		node := strings.TrimPrefix(o.Key, s.config.Keys.NodesPrefix)
		if o.Deleted {
			s.restorer.noteStored(node, nil)
			if o.Key == s.key(self.Node) {
				s.entryDeleted.Store(true)
				s.Publish()
			}
			continue
		}
		e, err := s.decodeEntry(o)
		if err != nil {
			s.config.Refusals.Note(o.Key, err)
		} else {
			entries = append(entries, e)
		}
		s.restorer.noteStored(node, &storedEntry{revision: o.Version, version: e.Version})
		switch {
		case o.Key == s.key(self.Node):
			if err != nil || !e.Same(self) {
				s.noteForeign(o.Version)
			}
		case err != nil || s.contradicts(e):
			spoiled = append(spoiled, node)
		}
	}
	s.listed.Store(true)
	s.config.Directory.Merge(entries)
	s.compareStored(c)
	if len(spoiled) > 0 && s.config.OnSpoiled != nil {
		s.config.OnSpoiled(spoiled)
	}
}

// compareStored compares the known entries with what a change shows of the store: all of them
// after a snapshot, otherwise those that have changed there. A node that writes its entry after
// it was removed as dead is alive, and its entry is left alone.
func (s *Syncer) compareStored(c change) {
	if c.snapshot {
		s.EntriesChanged(s.config.Directory.All())
		return
	}
	for _, o := range c.objects {
		if known, ok := s.config.Directory.Get(strings.TrimPrefix(o.Key, s.config.Keys.NodesPrefix)); ok && !known.Removed {
			s.EntriesChanged([]directory.Entry{known})
		}
	}
}

// decodeEntry returns the entry that an object holds, or the reason why it must not be used.
func (s *Syncer) decodeEntry(o platform.Object) (directory.Entry, error) {
	var e directory.Entry
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return directory.Entry{}, err
	}
	if o.Key != s.key(e.Node) {
		return directory.Entry{}, &directory.InvalidEntryError{Reason: directory.BadKey, Detail: fmt.Sprintf("node %.64q: want the one in the key", e.Node)}
	}
	return e, e.Validate(time.Now())
}

// contradicts reports whether an entry in the store differs from the known entry of the same
// node and version. Its node did not write it then.
func (s *Syncer) contradicts(e directory.Entry) bool {
	known, ok := s.config.Directory.Get(e.Node)
	return ok && known.Version == e.Version && !known.Same(e)
}

// noteForeign records the revision of an object in the place of this node's entry that differs
// from it. An earlier write of this node has a revision that publish knows by then.
func (s *Syncer) noteForeign(revision int64) {
	for known := s.foreignRevision.Load(); revision > known; known = s.foreignRevision.Load() {
		if s.foreignRevision.CompareAndSwap(known, revision) {
			s.Publish()
			return
		}
	}
}

// CheckEntry makes Run read this node's entry in the store and write it again if another writer
// has replaced it. It does not wait for that.
func (s *Syncer) CheckEntry() {
	s.entryUncertain.Store(true)
	s.Publish()
}

// applySettings applies changes of the settings tree. Invalid settings of one scope are
// refused without those of the others, and the scope keeps its previous settings.
func (s *Syncer) applySettings(c change) {
	if len(c.objects) == 0 && !c.returned {
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
	if c.snapshot {
		apply = s.config.Settings.ApplySnapshot
	}
	if c.returned {
		apply = s.config.Settings.Replace
	}
	if err := apply(c.version, changes); err != nil {
		s.config.Log.Warn().Err(err).Int64("revision", c.version).Msg("settings refused")
	}
	s.config.Log.Info().Int64("revision", s.config.Settings.Revision()).Int("scopes", len(changes)).Msg("settings in force")
	s.config.SettingsChanged()
}

// key returns the key of a node's entry.
func (s *Syncer) key(node string) string {
	return s.config.Keys.NodesPrefix + node
}

// Remove makes one attempt to delete the entry of a dead node from the store. If it fails,
// or the node writes the entry while Remove runs, the entry stays until the node is found
// dead again.
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
		s.config.Log.Warn().Err(err).Str("entry", node).Msg("cannot delete the entry of a dead node")
	}
}

// sleepJittered waits for a random duration between half of limit and limit, or until ctx
// ends.
func sleepJittered(ctx context.Context, limit time.Duration) {
	pause.For(ctx, limit/2+rand.N(limit/2))
}
