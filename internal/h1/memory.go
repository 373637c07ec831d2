package h1

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// reserveWait is how long a body that does not fit waits unread. It is a fraction of the time that
// callers wait for a response to an upload.
const reserveWait = 500 * time.Millisecond

// Memory bounds the bytes of the bodies that are in memory. It is safe for concurrent use.
type Memory struct {
	// limit is in bytes; zero means that there is none.
	limit int64
	// collect frees released bodies; nil if these do not count.
	collect func()

	mu   sync.Mutex
	held int64
	// released counts the bytes that were released and may still take memory.
	released releasedBytes
	// waiters holds the reservations that wait, that of the oldest request first.
	waiters []*waiter
	// growing holds the bodies without a stated length that have reserved bytes and are being read,
	// that of the oldest request first. None could be read to its end if all kept what they have.
	growing []*holder
}

// Portion is the part of a Memory that one server may use.
type Portion struct {
	memory *Memory
	limit  int64
	// held is guarded by memory.mu.
	held int64
}

// holder is the body of one request that has reserved bytes.
type holder struct {
	// arrived is when the request arrived.
	arrived time.Time
	// evicted is set on a growing body that must give way to that of an older request. It is
	// guarded by the memory's lock.
	evicted bool
}

// waiter is a reservation that waits. done receives nil once the bytes are reserved, or the error.
type waiter struct {
	holder  *holder
	portion *Portion
	bytes   int64
	done    chan error
}

// NewMemory returns a Memory of a number of bytes; with zero it is not bounded.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit}
}

// NewCollectedMemory returns a Memory in which released bodies count until the garbage collector has
// freed them. It is for large bodies, since it collects when released ones fill it.
func NewCollectedMemory(limit int64) *Memory {
	return &Memory{limit: limit, collect: runtime.GC}
}

// Portion returns a portion of a number of bytes, which may overlap with others; with zero it has
// the bound of the memory only.
func (m *Memory) Portion(limit int64) *Portion {
	return &Portion{memory: m, limit: limit}
}

// largestBody returns the size up to which a body fits, zero for any. The last part of a body without
// a stated length may exceed the rest of it.
func (p *Portion) largestBody() int64 {
	limit := p.limit
	if limit == 0 {
		limit = p.memory.limit
	}
	return max(0, limit-maxPartBytes)
}

// reserve reserves bytes. If they are not free it waits a short while, older requests first, and
// then returns errBufferLimit.
func (p *Portion) reserve(h *holder, bytes int64) error {
	m := p.memory
	m.mu.Lock()
	if h.evicted {
		m.mu.Unlock()
		return errBufferLimit
	}
	if m.tryReserve(p, bytes) {
		m.mu.Unlock()
		return nil
	}
	w := &waiter{holder: h, portion: p, bytes: bytes, done: make(chan error, 1)}
	i, _ := slices.BinarySearchFunc(m.waiters, w, func(a, b *waiter) int { return a.holder.arrived.Compare(b.holder.arrived) })
	m.waiters = slices.Insert(m.waiters, i, w)
	m.evictFor(h)
	m.mu.Unlock()
	timer := time.NewTimer(reserveWait)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removeWaiter(w) {
		return errBufferLimit
	}
	return <-w.done
}

// removeWaiter reports whether a reservation still waits, and ends that. The lock must be held.
func (m *Memory) removeWaiter(w *waiter) bool {
	i := slices.Index(m.waiters, w)
	if i < 0 {
		return false
	}
	m.waiters = slices.Delete(m.waiters, i, i+1)
	return true
}

// startGrowing records that a body without a stated length has reserved bytes and is being read,
// and stopGrowing that it no longer is.
func (m *Memory) startGrowing(h *holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, _ := slices.BinarySearchFunc(m.growing, h, func(a, b *holder) int { return a.arrived.Compare(b.arrived) })
	m.growing = slices.Insert(m.growing, i, h)
}

func (m *Memory) stopGrowing(h *holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.growing = slices.DeleteFunc(m.growing, func(other *holder) bool { return other == h })
}

// evictFor evicts the growing body of the newest request, if that is newer than the request of h,
// which waits. The lock must be held.
func (m *Memory) evictFor(h *holder) {
	for _, victim := range slices.Backward(m.growing) {
		if !victim.arrived.After(h.arrived) {
			return
		}
		if victim.evicted {
			continue
		}
		victim.evicted = true
		for _, w := range m.waiters {
			if w.holder == victim {
				m.removeWaiter(w)
				w.done <- errBufferLimit
				break
			}
		}
		return
	}
}

// tryReserve reserves bytes if they are free. The lock must be held.
func (m *Memory) tryReserve(p *Portion, bytes int64) bool {
	if p.limit > 0 && p.held+bytes > p.limit || m.limit > 0 && m.held+bytes > m.limit {
		return false
	}
	if m.limit > 0 && m.collect != nil && m.held+m.released.at(completedCollections())+bytes > m.limit {
		// Without the lock another body could take the memory meanwhile.
		m.collect()
		m.released = releasedBytes{}
	}
	p.held += bytes
	m.held += bytes
	return true
}

// release returns bytes of a portion and grants the reservations that fit now.
func (p *Portion) release(bytes int64) {
	if bytes == 0 {
		return
	}
	m := p.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	p.held -= bytes
	m.held -= bytes
	if m.limit > 0 && m.collect != nil {
		m.released.add(completedCollections(), bytes)
	}
	m.waiters = slices.DeleteFunc(m.waiters, func(w *waiter) bool {
		if !m.tryReserve(w.portion, w.bytes) {
			return false
		}
		w.done <- nil
		return true
	})
	if len(m.waiters) > 0 {
		m.evictFor(m.waiters[0].holder)
	}
}
