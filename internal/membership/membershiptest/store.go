package membershiptest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// pollTimeout is how long a watch waits for events before it returns none.
const pollTimeout = 30 * time.Second

// Store is an in-memory object store. It compacts its history only in Compact.
type Store struct {
	// mu guards all fields except latency.
	mu sync.Mutex
	// version is that of the latest change.
	version int64
	objects map[string]platform.Object
	// history holds the changes after compactedVersion, oldest first.
	history          []platform.Object
	compactedVersion int64
	outage           bool
	// changed is closed and replaced when waiting watches have to look for events again.
	changed chan struct{}
	latency time.Duration
	// calls counts calls by method name since the start or the last ResetCalls.
	calls map[string]int
	// waiting is the number of waiting watches, and peakWaiting its highest value since
	// the last ResetCalls.
	waiting     int
	peakWaiting int
}

var _ platform.Store = (*Store)(nil)

// NewStore returns an empty store. Each call takes at least latency.
func NewStore(latency time.Duration) *Store {
	return &Store{objects: map[string]platform.Object{}, changed: make(chan struct{}), calls: map[string]int{}, latency: latency}
}

// SetOutage starts or ends an outage, during which all calls fail.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.signal()
}

// Restore resets the store to an empty state at a version, as a recovery from an old
// backup does.
func (s *Store) Restore(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	s.objects = map[string]platform.Object{}
	s.history = nil
	s.signal()
}

// Compact drops the history of changes so far.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedVersion = s.version
}

// Calls returns the number of calls of a method since the last ResetCalls.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// ResetCalls sets all call counts to zero and the peak of the waiting watches to their
// current number.
func (s *Store) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = map[string]int{}
	s.peakWaiting = s.waiting
}

// PeakWatches returns the highest number of concurrently waiting watches since the last
// ResetCalls.
func (s *Store) PeakWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakWaiting
}

// signal wakes all waiting watches. The caller holds mu.
func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall counts a call and waits for its latency. It returns an error during an
// outage.
func (s *Store) beginCall(ctx context.Context, method string) error {
	s.mu.Lock()
	s.calls[method]++
	outage := s.outage
	s.mu.Unlock()
	if s.latency > 0 {
		select {
		case <-ctx.Done():
			return resultcode.Wrap(ctx.Err(), resultcode.PlatformUnavailable, "%s", method)
		case <-time.After(s.latency):
		}
	}
	if outage {
		return resultcode.New(resultcode.PlatformUnavailable, "%s: outage", method)
	}
	return nil
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.beginCall(ctx, "Get"); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return platform.Object{}, resultcode.New(resultcode.ScopeNotFound, "object %s", key)
	}
	return object, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := s.beginCall(ctx, "List"); err != nil {
		return platform.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := platform.Listing{Version: s.version}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			listing.Objects = append(listing.Objects, object)
		}
	}
	slices.SortFunc(listing.Objects, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
	return listing, nil
}

// Update implements platform.Store.
func (s *Store) Update(ctx context.Context, key string, ifVersion int64, value []byte) (platform.Object, error) {
	if err := s.beginCall(ctx, "Update"); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != ifVersion {
		return s.objects[key], resultcode.New(resultcode.SettingsConflict, "object %s is at version %d", key, s.objects[key].Version)
	}
	s.version++
	object := platform.Object{Key: key, Version: s.version, Value: slices.Clone(value)}
	s.objects[key] = object
	s.history = append(s.history, object)
	s.signal()
	return object, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, ifVersion int64) error {
	if err := s.beginCall(ctx, "Delete"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return resultcode.New(resultcode.ScopeNotFound, "object %s", key)
	}
	if object.Version != ifVersion {
		return resultcode.New(resultcode.SettingsConflict, "object %s is at version %d", key, object.Version)
	}
	s.version++
	delete(s.objects, key)
	s.history = append(s.history, platform.Object{Key: key, Version: s.version, Deleted: true})
	s.signal()
	return nil
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (platform.Events, error) {
	if err := s.beginCall(ctx, "Watch"); err != nil {
		return platform.Events{}, err
	}
	poll := time.NewTimer(pollTimeout)
	defer poll.Stop()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		events, changed, err := s.eventsAfter(prefix, after)
		if err != nil || len(events.Events) > 0 {
			return events, err
		}
		select {
		case <-ctx.Done():
			return platform.Events{}, resultcode.Wrap(ctx.Err(), resultcode.PlatformUnavailable, "watch %s", prefix)
		case <-poll.C:
			return events, nil
		case <-changed:
		}
	}
}

func (s *Store) addWaiting(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += change
	s.peakWaiting = max(s.peakWaiting, s.waiting)
}

// eventsAfter returns the events after a version, and the channel that is closed when the
// caller has to look for events again. It fails during an outage and when the version has
// been compacted.
func (s *Store) eventsAfter(prefix string, after int64) (platform.Events, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return platform.Events{}, nil, resultcode.New(resultcode.PlatformUnavailable, "watch %s: outage", prefix)
	}
	if after < s.compactedVersion {
		return platform.Events{}, nil, platform.ErrCompacted
	}
	events := platform.Events{Version: s.version}
	for _, object := range s.history {
		if object.Version > after && strings.HasPrefix(object.Key, prefix) {
			events.Events = append(events.Events, object)
		}
	}
	return events, s.changed, nil
}
