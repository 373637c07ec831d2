package gossip

import (
	"sync"
	"time"
)

// storeTroubleWindow is how long failed calls to the store count as a sign that others fail too.
const storeTroubleWindow = 10 * time.Second

// StoreTrouble holds when a node, this one or another, last had several calls in a row to the platform's
// store fail, as far as this node knows. The few nodes that follow the store for all may be among those
// that do not reach it, and may not know that yet. It is safe for concurrent use.
type StoreTrouble struct {
	mu sync.Mutex
	// at is zero before the first failure.
	at      time.Time
	onBegin func()
}

// NewStoreTrouble returns a StoreTrouble that knows of no failure.
func NewStoreTrouble() *StoreTrouble {
	return &StoreTrouble{onBegin: func() {}}
}

// OnBegin registers a function that is called when a failure becomes known after none was recent. It
// must be called before the first Note.
func (t *StoreTrouble) OnBegin(f func()) {
	t.onBegin = f
}

// Note records failed calls of a node at a time.
func (t *StoreTrouble) Note(now, at time.Time) {
	t.mu.Lock()
	began := !t.recent(now)
	if at.After(t.at) {
		t.at = at
	}
	began = began && t.recent(now)
	t.mu.Unlock()
	if began {
		t.onBegin()
	}
}

// Recent reports whether calls of a node have failed lately.
func (t *StoreTrouble) Recent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent(now)
}

func (t *StoreTrouble) recent(now time.Time) bool {
	return !t.at.IsZero() && now.Sub(t.at) < storeTroubleWindow
}

// ageMs returns the time since the latest failure in milliseconds, at least one, or zero if there is no
// recent one. It is what nodes tell each other.
func (t *StoreTrouble) ageMs(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.recent(now) {
		return 0
	}
	return max(1, now.Sub(t.at).Milliseconds())
}

// observePeer records what a peer tells.
func (t *StoreTrouble) observePeer(now time.Time, ageMs int64) {
	if ageMs > 0 && ageMs < storeTroubleWindow.Milliseconds() {
		t.Note(now, now.Add(-time.Duration(ageMs)*time.Millisecond))
	}
}
