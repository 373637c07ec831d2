// Package platformtest provides an in-memory store with the platform's semantics
// and with faults that tests inject. The stand-in program serves the same store
// over HTTP.
package platformtest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// DefaultHistoryLimit is the number of most recent changes kept for watches.
const DefaultHistoryLimit = 10000

// DefaultPollTimeout is how long a watch waits for a change by default.
const DefaultPollTimeout = 30 * time.Second

// Store is an in-memory platform.Store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	history *history
	// era rises with each Restore.
	era    uint64
	faults Faults
	counts Counts
	random *rand.Rand
	reads  *rate.Limiter
	writes *rate.Limiter
	// changed is closed and replaced on every change of objects or faults and on every
	// compaction.
	changed chan struct{}
	// pollTimeout is how long Watch waits for a change.
	pollTimeout time.Duration
}

var _ platform.EraStore = (*Store)(nil)

// New returns an empty store whose random faults are determined by seed.
func New(seed uint64) *Store {
	return &Store{
		history:     newHistory(DefaultHistoryLimit),
		era:         1,
		random:      rand.New(rand.NewPCG(seed, seed)),
		reads:       rate.NewLimiter(rate.Inf, 0),
		writes:      rate.NewLimiter(rate.Inf, 0),
		changed:     make(chan struct{}),
		pollTimeout: DefaultPollTimeout,
	}
}

// SetPollTimeout sets how long a watch waits for a change.
func (s *Store) SetPollTimeout(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollTimeout = d
}

// SetFaults replaces the injected faults and the rate limiters. The new limiters allow a
// full burst at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.reads = newLimiter(f.ReadsPerSecond)
	s.writes = newLimiter(f.WritesPerSecond)
	s.notifyWatches()
}

// Faults returns the faults that are currently injected.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls since the store was created.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Compact discards the kept changes; watches from a version before the last of them fail
// with platform.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.compact(len(s.history.changes))
	s.notifyWatches()
}

// Copy is the state of a store at one moment.
type Copy struct {
	history *history
}

// Copy returns the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.history.copy()}
}

// Restore returns to an earlier state: later writes are lost, and the next ones get the same
// versions again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = c.history.copy()
	s.era++
	s.notifyWatches()
}

// Era implements platform.EraStore.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.begin(ctx, &s.counts.Gets, s.readLimiter); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.history.objects[key]
	if !ok {
		return platform.Object{}, notFound(key)
	}
	return clone(o), s.garbageFault()
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := s.begin(ctx, &s.counts.Lists, s.readLimiter); err != nil {
		return platform.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.list(prefix), s.garbageFault()
}

// Update implements platform.Store.
func (s *Store) Update(ctx context.Context, key string, ifVersion int64, value []byte) (platform.Object, error) {
	if err := s.begin(ctx, &s.counts.Updates, s.writeLimiter); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduleLateWrite(func() { _, _ = s.update(key, ifVersion, value) }) {
		return platform.Object{}, errLateWrite
	}
	o, err := s.update(key, ifVersion, value)
	if err != nil {
		return o, err
	}
	return o, s.responseFault()
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, ifVersion int64) error {
	if err := s.begin(ctx, &s.counts.Deletes, s.writeLimiter); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduleLateWrite(func() { _, _ = s.remove(key, ifVersion) }) {
		return errLateWrite
	}
	if _, err := s.remove(key, ifVersion); err != nil {
		return err
	}
	return s.responseFault()
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (platform.Events, error) {
	s.mu.Lock()
	pollTimeout := s.pollTimeout
	s.mu.Unlock()
	return s.WatchFor(ctx, prefix, after, pollTimeout)
}

// WatchFor is Watch with a given poll timeout.
func (s *Store) WatchFor(ctx context.Context, prefix string, after int64, pollTimeout time.Duration) (platform.Events, error) {
	if err := s.begin(ctx, &s.counts.Watches, s.readLimiter); err != nil {
		return platform.Events{}, err
	}
	s.addWaiting(1)
	defer s.addWaiting(-1)
	timer := time.NewTimer(pollTimeout)
	defer timer.Stop()
	for {
		events, changed, err := s.changesAfter(prefix, after)
		if err != nil || len(events.Events) > 0 {
			return events, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return events, nil
		case <-ctx.Done():
			return platform.Events{}, unavailable(ctx.Err())
		}
	}
}

// changesAfter returns the changes under prefix that are newer than version after, and
// a channel that is closed on the next change of objects or faults or compaction.
func (s *Store) changesAfter(prefix string, after int64) (platform.Events, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return platform.Events{}, nil, errOutage
	}
	changes, ok := s.history.after(prefix, after)
	if !ok {
		return platform.Events{}, nil, platform.ErrCompacted
	}
	events := platform.Events{Version: s.history.version, Events: changes}
	if len(changes) == 0 {
		return events, s.changed, nil
	}
	return events, s.changed, s.garbageFault()
}

func (s *Store) addWaiting(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += n
}

// update writes a value if its condition holds, without faults. The lock must be held.
func (s *Store) update(key string, ifVersion int64, value []byte) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, resultcode.New(resultcode.SettingsInvalid,
			"object %q has %d bytes; at most %d are stored", key, len(value), platform.MaxValueBytes)
	}
	current := s.history.objects[key]
	if current.Version != ifVersion {
		return clone(current), conflict(key, ifVersion, current.Version)
	}
	o := s.history.put(key, value)
	s.notifyWatches()
	return clone(o), nil
}

// remove deletes an object if its condition holds, without faults. The lock must be
// held. With a conflict it returns the current object.
func (s *Store) remove(key string, ifVersion int64) (platform.Object, error) {
	current, ok := s.history.objects[key]
	if !ok {
		return platform.Object{}, notFound(key)
	}
	if current.Version != ifVersion {
		return clone(current), conflict(key, ifVersion, current.Version)
	}
	s.history.remove(key)
	s.notifyWatches()
	return platform.Object{}, nil
}

// notifyWatches makes the waiting watches check for changes and faults. The lock must
// be held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
