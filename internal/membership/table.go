package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets into which the records are divided by the hash
// of their IDs. Anti-entropy compares one digest of each bucket.
const bucketCount = 256

// record is the row of a member in the table: the newest known Member and the local
// state about it.
type record struct {
	Member
	// liveIndex is the index in table.live, or -1 for a tombstone.
	liveIndex int
	// bucket is that of the ID, and digest the part of this record in the bucket's
	// digest.
	bucket uint8
	digest uint64
	// suspectUntil is when a suspect that has not refuted is declared dead.
	suspectUntil time.Time
	// endedAt is when the member was declared dead or left, on the clock of the local
	// node. It has no meaning for a live member.
	endedAt time.Time
}

// table holds all records except that of the local node.
type table struct {
	byID map[string]*record
	// live holds the records of the members in state Alive or Suspect, in no order.
	live    []*record
	buckets [bucketCount][]*record
	// digests holds for each bucket the XOR of the digests of its records.
	digests [bucketCount]uint64
	// interned holds one copy of each region, failure domain and service name, which
	// all records share.
	interned map[string]string
}

func newTable() *table {
	return &table{byID: map[string]*record{}, interned: map[string]string{}}
}

func bucketOf(id string) uint8 {
	return uint8(xxhash.Sum64String(id) >> 56)
}

// digestOf returns the digest of the fields that decide which of two records supersedes
// the other. Suspect is left out, because within seconds a suspect is declared dead or
// refutes.
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

func (t *table) get(id string) *record {
	return t.byID[id]
}

// put stores m in place of the member's stored record, if there is one, and returns the
// record. It does not check which of the two supersedes the other.
func (t *table) put(m Member) *record {
	m.Region = t.intern(m.Region)
	m.FailureDomain = t.intern(m.FailureDomain)
	m.Service = t.intern(m.Service)
	r := t.byID[m.ID]
	if r == nil {
		r = &record{liveIndex: -1, bucket: bucketOf(m.ID)}
		t.byID[m.ID] = r
		t.buckets[r.bucket] = append(t.buckets[r.bucket], r)
	}
	t.digests[r.bucket] ^= r.digest
	r.Member = m
	r.digest = digestOf(&m)
	t.digests[r.bucket] ^= r.digest
	t.updateLive(r)
	return r
}

// updateLive adds r to the list of live members or removes it, according to its state.
func (t *table) updateLive(r *record) {
	if r.State.ended() == (r.liveIndex < 0) {
		return
	}
	if r.liveIndex < 0 {
		r.liveIndex = len(t.live)
		t.live = append(t.live, r)
		return
	}
	last := t.live[len(t.live)-1]
	t.live[r.liveIndex] = last
	last.liveIndex = r.liveIndex
	t.live[len(t.live)-1] = nil
	t.live = t.live[:len(t.live)-1]
	r.liveIndex = -1
}

// remove deletes a record, which must be a tombstone: the list of live members is not
// changed.
func (t *table) remove(r *record) {
	t.digests[r.bucket] ^= r.digest
	delete(t.byID, r.ID)
	bucket := t.buckets[r.bucket]
	for i, other := range bucket {
		if other == r {
			bucket[i] = bucket[len(bucket)-1]
			bucket[len(bucket)-1] = nil
			t.buckets[r.bucket] = bucket[:len(bucket)-1]
			break
		}
	}
}

// intern returns the shared copy of s, which it stores if there is none.
func (t *table) intern(s string) string {
	if s == "" {
		return ""
	}
	if shared, ok := t.interned[s]; ok {
		return shared
	}
	t.interned[s] = s
	return s
}

// sampleLive returns up to n different live members in random order. It leaves out those
// for which skip returns true; a nil skip leaves out none.
func (t *table) sampleLive(rng *rand.Rand, n int, skip func(*record) bool) []*record {
	size := len(t.live)
	if size == 0 || n == 0 {
		return nil
	}
	sample := make([]*record, 0, n)
	// A random start and a stride that is coprime to the size visit every
	// member once without shuffling the list. Not all orders can occur.
	position := rng.IntN(size)
	stride := randomCoprime(rng, size)
	for range size {
		r := t.live[position]
		position = (position + stride) % size
		if skip != nil && skip(r) {
			continue
		}
		sample = append(sample, r)
		if len(sample) == n {
			break
		}
	}
	return sample
}

// randomCoprime returns a random number from 1 to size that is coprime to size.
func randomCoprime(rng *rand.Rand, size int) int {
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
