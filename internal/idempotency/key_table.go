package idempotency

import (
	"container/heap"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxNotRunAttempts bounds the attempts remembered per key as not run. A key with
// this many such attempts is not granted again; a root request has at most 42 attempts.
const maxNotRunAttempts = 64

// keyTable remembers the keys that one owner granted, and those for which a report
// arrived before the acquisition. A key that was removed stays refused, because minIssued
// is above its issue time.
type keyTable struct {
	remembered map[uuid.UUID]*rememberedKey
	// order holds the same keys, the oldest first.
	order keyHeap
	// minIssued is the oldest issue time still accepted, in unix milliseconds. It
	// never decreases.
	minIssued int64
	// limit is the maximum number of remembered keys.
	limit int
}

// rememberedState is the state of a remembered key. A free key is held by no attempt;
// the other states are the KeyStates of the same names.
type rememberedState uint8

const (
	stateFree rememberedState = iota
	stateRunning
	stateCompleted
	stateUnknown
)

type rememberedKey struct {
	key uuid.UUID
	// issued is the issue time in unix milliseconds.
	issued int64
	state  rememberedState
	// attempt is the latest one that was granted the key; zero if none was.
	attempt uuid.UUID
	// status is the HTTP status of the execution, in state stateCompleted.
	status int
	// notRun holds the attempts that were reported as not run.
	notRun []uuid.UUID
}

func newKeyTable(limit int) *keyTable {
	return &keyTable{remembered: make(map[uuid.UUID]*rememberedKey), limit: limit}
}

// lookup returns the result that the table already determines for an attempt; ok
// is false when the key may be granted as far as the table knows.
func (t *keyTable) lookup(key, attempt uuid.UUID) (a AcquireResult, ok bool) {
	k, known := t.remembered[key]
	if !known {
		return AcquireResult{State: TooOld}, issuedAt(key) < t.minIssued
	}
	switch k.state {
	case stateRunning:
		if k.attempt == attempt {
			return AcquireResult{State: Granted}, true
		}
		return AcquireResult{State: Running}, true
	case stateCompleted:
		return AcquireResult{State: Completed, Status: k.status}, true
	case stateUnknown:
		return AcquireResult{State: Unknown}, true
	}
	if len(k.notRun) >= maxNotRunAttempts {
		return AcquireResult{State: Unknown}, true
	}
	return AcquireResult{State: Running}, k.reportedNotRun(attempt)
}

// grant gives a key to an attempt. It returns false when the key is not remembered and
// getOrAdd cannot add it. It panics for a key that the table refuses to the attempt, so
// lookup has to be called first.
func (t *keyTable) grant(key, attempt uuid.UUID) bool {
	k, ok := t.getOrAdd(key)
	if !ok {
		return false
	}
	if k.state != stateFree || k.reportedNotRun(attempt) {
		panic("idempotency: key " + key.String() + " granted while it is not free for the attempt")
	}
	k.state = stateRunning
	k.attempt = attempt
	return true
}

// complete records the outcome of the attempt that holds the key. Of another attempt it
// records only the outcome NotRun, so that the key is not granted to that attempt later.
func (t *keyTable) complete(key, attempt uuid.UUID, execution resultcode.Execution, status int) {
	k, known := t.remembered[key]
	if known && k.state == stateRunning && k.attempt == attempt {
		k.finish(execution, status)
		return
	}
	if execution != resultcode.NotRun {
		return
	}
	// The attempt's acquisition may still arrive after this report.
	if k, ok := t.getOrAdd(key); ok && !k.reportedNotRun(attempt) && len(k.notRun) < maxNotRunAttempts {
		k.notRun = append(k.notRun, attempt)
	}
}

// finish records the outcome of the attempt that holds the key.
func (k *rememberedKey) finish(execution resultcode.Execution, status int) {
	switch execution {
	case resultcode.NotRun:
		k.state = stateFree
		k.notRun = append(k.notRun, k.attempt)
	case resultcode.Run:
		k.state = stateCompleted
		k.status = status
	default:
		k.state = stateUnknown
	}
}

func (k *rememberedKey) reportedNotRun(attempt uuid.UUID) bool {
	for _, reported := range k.notRun {
		if reported == attempt {
			return true
		}
	}
	return false
}

// getOrAdd returns the state of a key. A key that is not remembered is added, unless it
// was issued before minIssued, or the table is full and no key in it is older.
func (t *keyTable) getOrAdd(key uuid.UUID) (*rememberedKey, bool) {
	if k, ok := t.remembered[key]; ok {
		return k, true
	}
	issued := issuedAt(key)
	if len(t.remembered) >= t.limit && issued > t.order[0].issued {
		t.evictOldest()
	}
	if issued < t.minIssued || len(t.remembered) >= t.limit {
		return nil, false
	}
	k := &rememberedKey{key: key, issued: issued}
	t.remembered[key] = k
	heap.Push(&t.order, k)
	return k, true
}

// expire removes the keys issued before oldest, in unix milliseconds.
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
		k := heap.Pop(&t.order).(*rememberedKey)
		delete(t.remembered, k.key)
	}
}

// keyHeap is a heap of keys with the lowest issue time first.
type keyHeap []*rememberedKey

func (h keyHeap) Len() int           { return len(h) }
func (h keyHeap) Less(i, j int) bool { return h[i].issued < h[j].issued }
func (h keyHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *keyHeap) Push(x any) { *h = append(*h, x.(*rememberedKey)) }

// Pop implements heap.Interface.
func (h *keyHeap) Pop() any {
	last := len(*h) - 1
	k := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return k
}
