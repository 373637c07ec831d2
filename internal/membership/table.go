package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of digests compared in anti-entropy.
const bucketCount = 256

// entry is a record with what this node keeps about it.
type entry struct {
	Member
	// position in table.live, or -1.
	position int
	bucket   uint8
	digest   uint64
	// suspectUntil is when a suspect is declared dead.
	suspectUntil time.Time
	// ended is when the member died or left, on this node's clock.
	ended time.Time
}

// table holds all records except this node's own.
type table struct {
	byID    map[string]*entry
	live    []*entry
	buckets [bucketCount][]*entry
	digests [bucketCount]uint64
	// names holds one copy of each region, failure domain and service name.
	names map[string]string
}

func newTable() *table {
	return &table{byID: map[string]*entry{}, names: map[string]string{}}
}

func bucketOf(id string) uint8 {
	return uint8(xxhash.Sum64String(id) >> 56)
}

// digestOf covers what decides which of two records wins. A suspicion is left
// out because it resolves itself within seconds.
func digestOf(m *Member) uint64 {
	var buffer [17]byte
	binary.LittleEndian.PutUint64(buffer[0:], m.Incarnation)
	binary.LittleEndian.PutUint64(buffer[8:], m.Version)
	if m.State.ended() {
		buffer[16] = byte(m.State)
	}
	d := xxhash.New()
	_, _ = d.WriteString(m.ID)
	_, _ = d.Write(buffer[:])
	return d.Sum64()
}

func (t *table) get(id string) *entry {
	return t.byID[id]
}

// put stores a record and returns its entry.
func (t *table) put(m Member) *entry {
	m.Region = t.name(m.Region)
	m.FailureDomain = t.name(m.FailureDomain)
	m.Service = t.name(m.Service)
	e := t.byID[m.ID]
	if e == nil {
		e = &entry{position: -1, bucket: bucketOf(m.ID)}
		t.byID[m.ID] = e
		t.buckets[e.bucket] = append(t.buckets[e.bucket], e)
	}
	t.digests[e.bucket] ^= e.digest
	e.Member = m
	e.digest = digestOf(&m)
	t.digests[e.bucket] ^= e.digest
	t.place(e)
	return e
}

// place keeps e in the list of live members exactly while it is live.
func (t *table) place(e *entry) {
	if e.State.ended() == (e.position < 0) {
		return
	}
	if e.position < 0 {
		e.position = len(t.live)
		t.live = append(t.live, e)
		return
	}
	last := t.live[len(t.live)-1]
	t.live[e.position] = last
	last.position = e.position
	t.live[len(t.live)-1] = nil
	t.live = t.live[:len(t.live)-1]
	e.position = -1
}

// remove forgets a tombstone.
func (t *table) remove(e *entry) {
	t.digests[e.bucket] ^= e.digest
	delete(t.byID, e.ID)
	bucket := t.buckets[e.bucket]
	for i, other := range bucket {
		if other == e {
			bucket[i] = bucket[len(bucket)-1]
			bucket[len(bucket)-1] = nil
			t.buckets[e.bucket] = bucket[:len(bucket)-1]
			break
		}
	}
}

func (t *table) name(s string) string {
	if s == "" {
		return ""
	}
	if kept, ok := t.names[s]; ok {
		return kept
	}
	t.names[s] = s
	return s
}

// pick returns up to n different live members in random order, without those
// that skip accepts.
func (t *table) pick(rng *rand.Rand, n int, skip func(*entry) bool) []*entry {
	size := len(t.live)
	if size == 0 || n == 0 {
		return nil
	}
	chosen := make([]*entry, 0, n)
	// A random start and a stride that is coprime to the size visit every
	// member once without shuffling the list.
	position := rng.IntN(size)
	stride := coprime(rng, size)
	for range size {
		e := t.live[position]
		position = (position + stride) % size
		if skip != nil && skip(e) {
			continue
		}
		chosen = append(chosen, e)
		if len(chosen) == n {
			break
		}
	}
	return chosen
}

func coprime(rng *rand.Rand, size int) int {
	for {
		stride := 1 + rng.IntN(size)
		if gcd(stride, size) == 1 {
			return stride
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
