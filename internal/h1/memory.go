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
	// evicted is set on a growing body that must give way to that of an older request, releasing if it
	// does so at once. The others do when they need more bytes. They and the following fields are
	// guarded by the memory's lock.
	evicted, releasing bool
	// portion and held are where a growing body has reserved bytes, and how many.
	portion *Portion
	held    int64
}

// waiter is a reservation that waits. done receives nil once the bytes are reserved, or the error.
type waiter struct {
	holder  *holder
	portion *Portion
	bytes   int64
	done    chan error
	// urgent is set when the waiter has no more time for bodies that are complete to be released.
	urgent bool
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
	m.evict()
	m.mu.Unlock()
	timer := time.NewTimer(reserveWait / 2)
	defer timer.Stop()
	for _, last := range []bool{false, true} {
		select {
		case err := <-w.done:
			return err
		case <-timer.C:
		}
		if !last {
			m.hurry(w)
			timer.Reset(reserveWait / 2)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removeWaiter(w) {
		return errBufferLimit
	}
	return <-w.done
}

// hurry makes a waiter urgent and makes room for it.
func (m *Memory) hurry(w *waiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.urgent = true
	m.evict()
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

// grow records that a body without a stated length has reserved bytes of a portion and is being read.
func (p *Portion) grow(h *holder, bytes int64) {
	m := p.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	h.held += bytes
	if h.portion != nil {
		return
	}
	h.portion = p
	i, _ := slices.BinarySearchFunc(m.growing, h, func(a, b *holder) int { return a.arrived.Compare(b.arrived) })
	m.growing = slices.Insert(m.growing, i, h)
}

// stopGrowing records that a body without a stated length is no longer being read.
func (m *Memory) stopGrowing(h *holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.growing = slices.DeleteFunc(m.growing, func(other *holder) bool { return other == h })
}

// evict makes room for the oldest waiter of each portion. The lock must be held.
func (m *Memory) evict() {
	var seen []*Portion
	for _, w := range slices.Clone(m.waiters) {
		if !slices.Contains(seen, w.portion) {
			seen = append(seen, w.portion)
			m.evictFor(w)
		}
	}
}

// evictFor evicts growing bodies of newer requests than that of a waiter, the newest first, as many as the
// waiter needs. Unless the waiter is urgent, it evicts none if the release of complete bodies will do.
// The lock must be held.
func (m *Memory) evictFor(w *waiter) {
	for _, victim := range slices.Backward(slices.Clone(m.growing)) {
		if !victim.arrived.After(w.holder.arrived) || m.willFit(w) {
			return
		}
		if victim.evicted {
			continue
		}
		victim.evicted = true
		// A body that waits for bytes is not being read.
		if i := slices.IndexFunc(m.waiters, func(other *waiter) bool { return other.holder == victim }); i >= 0 {
			other := m.waiters[i]
			m.removeWaiter(other)
			victim.releasing = true
			other.done <- errBufferLimit
		}
	}
}

// willFit reports whether a waiter fits once the evicted bodies and the complete ones are released, or, if
// it is urgent, those that are being released. The lock must be held.
func (m *Memory) willFit(w *waiter) bool {
	portionHeld, held := w.portion.held, m.held
	if !w.urgent {
		portionHeld, held = 0, 0
	}
	for _, h := range m.growing {
		change := int64(0)
		switch {
		case !w.urgent && !h.evicted:
			change = h.held
		case w.urgent && h.releasing:
			change = -h.held
		}
		held += change
		if h.portion == w.portion {
			portionHeld += change
		}
	}
	return w.portion.fits(portionHeld, held, w.bytes)
}

// fits reports whether bytes fit beside those that are held of the portion and of the memory.
func (p *Portion) fits(portionHeld, held, bytes int64) bool {
	m := p.memory
	return (p.limit == 0 || portionHeld+bytes <= p.limit) && (m.limit == 0 || held+bytes <= m.limit)
}

// tryReserve reserves bytes if they are free. The lock must be held.
func (m *Memory) tryReserve(p *Portion, bytes int64) bool {
	if !p.fits(p.held, m.held, bytes) {
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
	m.evict()
}
