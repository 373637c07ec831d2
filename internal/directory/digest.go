package directory

import (
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxBuckets is the number of digests a directory keeps, a power of two.
const maxBuckets = 256

// buckets divides the entries by the hash of their address. Two directories that
// differ in few entries differ in few buckets.
type buckets struct {
	nodes   [maxBuckets]map[string]struct{}
	digests [maxBuckets]uint64
}

func bucketOf(node string) int {
	return int(xxhash.Sum64String(node) % maxBuckets)
}

// digestOf is the part of one entry in the digest of its bucket.
func digestOf(e Entry) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(e.Node), e.Version))
}

// replace takes in an entry in place of the one before it, which is empty for a
// new address.
func (b *buckets) replace(before, after Entry) {
	i := bucketOf(after.Node)
	if before.Node != "" {
		b.digests[i] ^= digestOf(before)
	}
	b.digests[i] ^= digestOf(after)
	if b.nodes[i] == nil {
		b.nodes[i] = make(map[string]struct{})
	}
	b.nodes[i][after.Node] = struct{}{}
}

func (b *buckets) remove(e Entry) {
	i := bucketOf(e.Node)
	b.digests[i] ^= digestOf(e)
	delete(b.nodes[i], e.Node)
}

// folded returns the digests of count buckets, a power of two up to maxBuckets.
func (b *buckets) folded(count int) []uint64 {
	digests := make([]uint64, count)
	for i, digest := range b.digests {
		digests[i%count] ^= digest
	}
	return digests
}

// Digest is equal for equal directories.
func (d *Directory) Digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.buckets.folded(1)[0]
}

// BucketDigests returns the digests of as many buckets as make their digests about
// as long as the list of one bucket's versions.
func (d *Directory) BucketDigests() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 1 << (bits.Len(uint(len(d.entries))) / 2)
	return d.buckets.folded(min(count, maxBuckets))
}

// Versions returns the versions of the entries in those buckets whose digests
// differ from theirs, with the numbers of these buckets. Theirs comes from
// another node and may have any length.
func (d *Directory) Versions(theirs []uint64) (differing []int, versions map[string]uint64) {
	count := len(theirs)
	if !validCount(count) {
		return nil, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	versions = make(map[string]uint64)
	for i, own := range d.buckets.folded(count) {
		if own == theirs[i] {
			continue
		}
		differing = append(differing, i)
		d.eachIn(count, i, func(e Entry) { versions[e.Node] = e.Version })
	}
	return differing, versions
}

// Compare returns the entries of the given buckets that are newer than the versions
// another node has, in random order, and the addresses of those that are older.
func (d *Directory) Compare(count int, differing []int, versions map[string]uint64) (newer []Entry, older []string) {
	if !validCount(count) {
		return nil, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range differing {
		if i < 0 || i >= count {
			continue
		}
		d.eachIn(count, i, func(e Entry) {
			if e.Version > versions[e.Node] {
				newer = append(newer, e)
			}
		})
	}
	for node, version := range versions {
		if d.entries[node].Version < version {
			older = append(older, node)
		}
	}
	slices.Sort(older)
	rand.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	return newer, older
}

// Entries returns the entries of the given addresses that are known.
func (d *Directory) Entries(nodes []string) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []Entry
	for _, node := range nodes {
		if e, ok := d.entries[node]; ok {
			found = append(found, e)
		}
	}
	return found
}

// eachIn calls f for the entries of bucket i of count. The caller holds the lock.
func (d *Directory) eachIn(count, i int, f func(Entry)) {
	for ; i < maxBuckets; i += count {
		for node := range d.buckets.nodes[i] {
			f(d.entries[node])
		}
	}
}

func validCount(count int) bool {
	return count >= 1 && count <= maxBuckets && bits.OnesCount(uint(count)) == 1
}
