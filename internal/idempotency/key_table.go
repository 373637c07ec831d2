package idempotency

import (
	"container/heap"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxNotRunAttempts bounds the attempts remembered per key as not run. A key with
// this many is not granted again; a root request has at most 42 attempts.
const maxNotRunAttempts = 64

// keyTable remembers the keys granted by one owner. A key that was removed stays
// refused, because minIssued is above its issue time.
type keyTable struct {
	entries map[uuid.UUID]*keyEntry
	order   keyHeap
	// minIssued is the oldest issue time still accepted. It never decreases.
	minIssued int64
	limit     int
}

type entryState uint8

const (
	entryFree entryState = iota
	entryRunning
	entryCompleted
	entryUnknown
)

type keyEntry struct {
	key     uuid.UUID
	issued  int64
	state   entryState
	attempt uuid.UUID
	status  int
	// notRun holds the attempts that were reported as not run.
	notRun []uuid.UUID
}

func newKeyTable(limit int) *keyTable {
	return &keyTable{entries: make(map[uuid.UUID]*keyEntry), limit: limit}
}

// lookup returns the result that the table already determines for an attempt; ok
// is false when the key may be granted as far as the table knows.
func (t *keyTable) lookup(key, attempt uuid.UUID) (a AcquireResult, ok bool) {
	e, held := t.entries[key]
	if !held {
		return AcquireResult{State: TooOld}, issuedAt(key) < t.minIssued
	}
	switch e.state {
	case entryRunning:
		if e.attempt == attempt {
			return AcquireResult{State: Granted}, true
		}
		return AcquireResult{State: Running}, true
	case entryCompleted:
		return AcquireResult{State: Completed, Status: e.status}, true
	case entryUnknown:
		return AcquireResult{State: Unknown}, true
	}
	if len(e.notRun) >= maxNotRunAttempts {
		return AcquireResult{State: Unknown}, true
	}
	return AcquireResult{State: Running}, e.reportedNotRun(attempt)
}

// grant gives an attempt a key for which lookup permitted it. It returns false
// when the table is full of newer keys.
func (t *keyTable) grant(key, attempt uuid.UUID) bool {
	e, ok := t.getOrAdd(key)
	if !ok {
		return false
	}
	if e.state != entryFree || e.reportedNotRun(attempt) {
		panic("idempotency: key " + key.String() + " granted while it is not free for the attempt")
	}
	e.state = entryRunning
	e.attempt = attempt
	return true
}

// complete records the outcome of an attempt. An attempt that does not hold the
// key changes only what is remembered about that attempt.
func (t *keyTable) complete(key, attempt uuid.UUID, run resultcode.Execution, status int) {
	e, held := t.entries[key]
	if held && e.state == entryRunning && e.attempt == attempt {
		e.finish(run, status)
		return
	}
	if run != resultcode.NotRun {
		return
	}
	// The attempt's acquisition may still arrive after this report.
	if e, ok := t.getOrAdd(key); ok && !e.reportedNotRun(attempt) && len(e.notRun) < maxNotRunAttempts {
		e.notRun = append(e.notRun, attempt)
	}
}

func (e *keyEntry) finish(run resultcode.Execution, status int) {
	switch run {
	case resultcode.NotRun:
		e.state = entryFree
		e.notRun = append(e.notRun, e.attempt)
	case resultcode.Run:
		e.state = entryCompleted
		e.status = status
	default:
		e.state = entryUnknown
	}
}

func (e *keyEntry) reportedNotRun(attempt uuid.UUID) bool {
	for _, reported := range e.notRun {
		if reported == attempt {
			return true
		}
	}
	return false
}

// getOrAdd returns the entry of a key. A missing entry is added unless the key
// was issued before minIssued or the table is full of newer keys.
func (t *keyTable) getOrAdd(key uuid.UUID) (*keyEntry, bool) {
	if e, ok := t.entries[key]; ok {
		return e, true
	}
	issued := issuedAt(key)
	if len(t.entries) >= t.limit && issued > t.order[0].issued {
		t.evictOldest()
	}
	if issued < t.minIssued || len(t.entries) >= t.limit {
		return nil, false
	}
	e := &keyEntry{key: key, issued: issued}
	t.entries[key] = e
	heap.Push(&t.order, e)
	return e, true
}

// expire removes the keys issued before oldest.
func (t *keyTable) expire(oldest int64) {
	for len(t.order) > 0 && t.order[0].issued < oldest {
		t.evictOldest()
	}
}

// evictOldest removes all keys of the oldest issue time and raises minIssued
// above it.
func (t *keyTable) evictOldest() {
	issued := t.order[0].issued
	t.minIssued = max(t.minIssued, issued+1)
	for len(t.order) > 0 && t.order[0].issued == issued {
		e := heap.Pop(&t.order).(*keyEntry)
		delete(t.entries, e.key)
	}
}

// keyHeap orders entries by issue time.
type keyHeap []*keyEntry

func (h keyHeap) Len() int           { return len(h) }
func (h keyHeap) Less(i, j int) bool { return h[i].issued < h[j].issued }
func (h keyHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *keyHeap) Push(x any) { *h = append(*h, x.(*keyEntry)) }

// Pop implements heap.Interface.
func (h *keyHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
