package storesync

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// watcherCount is the number of nodes that watch a prefix on behalf of the fleet.
	// The others learn from the watchers, so that the calls to the store do not grow with
	// the fleet. With six watchers, it is unlikely that the store refuses all of them at
	// the same time.
	watcherCount = 6
	// troubledWatchers and troubledPolls take the place of watcherCount and of one poll while calls of
	// some node fail, since the nodes that read for all may be among those that cannot, and some of
	// them may not know it yet.
	troubledWatchers = 2 * watcherCount
	troubledPolls    = 4
	// troubleAfter is the number of calls in a row that have to fail. A single one may be a watch that
	// was cut off.
	troubleAfter = 2
	// isolatedAfter is how long a node without a message from a peer waits before it
	// watches the store itself.
	isolatedAfter = time.Second
	// roleCheckInterval is how often a node checks whether it has to watch a prefix.
	roleCheckInterval = 250 * time.Millisecond
)

// shouldWatch reports whether this node has to watch a prefix: it is among the first
// nodes in a hash order that differs for each prefix, or it is isolated and receives no
// updates from peers. The number of these first nodes is watcherCount, or more while some
// nodes are unreachable, so that about watcherCount of the reachable ones watch.
func (s *Syncer) shouldWatch(prefix string) bool {
	if s.isolated() {
		return true
	}
	return float64(s.watcherRank(prefix)) < s.watchers(prefix)/s.config.ReachableFraction()
}

// watchers returns the number of nodes that watch a prefix. Entries reach all nodes from their owners
// too, the configuration only from the store.
func (s *Syncer) watchers(prefix string) float64 {
	if prefix == s.config.Keys.ConfigPrefix && s.config.StoreTrouble.Recent(time.Now()) {
		return troubledWatchers
	}
	return watcherCount
}

// polls returns how many nodes poll the configuration, on average, in each pollInterval. A node whose
// own calls fail leaves the additional ones to others.
func (s *Syncer) polls() float64 {
	if s.failedCalls.Load() == 0 && s.config.StoreTrouble.Recent(time.Now()) {
		return troubledPolls
	}
	return 1
}

// noteCall records the outcome of a call to the store, nil for a success.
func (s *Syncer) noteCall(err error) {
	if err == nil || errors.Is(err, platform.ErrCompacted) || resultcode.From(err).Code == resultcode.ScopeNotFound {
		s.failedCalls.Store(0)
		return
	}
	if s.failedCalls.Add(1) >= troubleAfter {
		now := time.Now()
		s.config.StoreTrouble.Note(now, now)
	}
}

// rank is a watcherRank with the generation of the directory for which it was computed.
type rank struct {
	generation uint64
	before     int
}

// watcherRank returns the number of nodes that precede this one in the order in which
// nodes watch a prefix. It visits all entries only after nodes have joined or left.
func (s *Syncer) watcherRank(prefix string) int {
	s.ranksMu.Lock()
	defer s.ranksMu.Unlock()
	generation := s.config.Directory.Generation()
	if known, ok := s.ranks[prefix]; ok && known.generation == generation {
		return known.before
	}
	score := xxhash.Sum64String(prefix + s.config.Directory.Self().Node)
	before := 0
	s.config.Directory.EachPeer(func(e directory.Entry) {
		if !e.Leaving && xxhash.Sum64String(prefix+e.Node) < score {
			before++
		}
	})
	s.ranks[prefix] = rank{generation, before}
	return before
}

// isolated reports whether this node has received no message from a peer recently. A node that
// has just started has not had the time to receive one.
func (s *Syncer) isolated() bool {
	return time.Since(s.config.LastReceived()) > isolatedAfter && time.Since(s.startedAt()) > isolatedAfter
}

// startedAt returns when Run was called, the zero time before that.
func (s *Syncer) startedAt() time.Time {
	if at := s.started.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// share returns the probability with which this node does a piece of work, so that on
// average count of the nodes that can reach each other do it. It is 1 at most, and 1 for an
// isolated node.
func (s *Syncer) share(count float64) float64 {
	if s.isolated() {
		return 1
	}
	return min(1, count/(s.config.ReachableFraction()*float64(s.config.Directory.Size())))
}

// awaitWatcherRole blocks until this node has to watch a prefix or ctx ends.
func (s *Syncer) awaitWatcherRole(ctx context.Context, prefix string) {
	for ctx.Err() == nil && !s.shouldWatch(prefix) {
		sleepJittered(ctx, roleCheckInterval)
	}
}
