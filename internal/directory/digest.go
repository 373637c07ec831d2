package directory

import (
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxBuckets is the number of digests that a directory keeps. It is a power of two.
const maxBuckets = 256

// buckets groups the entries by the hash of their node's address. Two directories that
// differ in few entries differ in few buckets.
type buckets struct {
	// nodes holds the set of nodes in each bucket, nil for a bucket that never had one.
	nodes [maxBuckets]map[string]struct{}
	// digests holds the XOR of the entries' digestOf for each bucket.
	digests [maxBuckets]uint64
}

// bucketOf returns the index of a node's bucket.
func bucketOf(node string) int {
	return int(xxhash.Sum64String(node) % maxBuckets)
}

// digestOf returns the hash that an entry contributes to the digest of its bucket by XOR.
func digestOf(e Entry) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(e.Node), e.Version))
}

// replace updates a bucket with an entry that supersedes the entry before, which is the
// zero Entry for a new node.
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

// fold merges the buckets into count buckets and returns their digests. Count is a
// power of two up to maxBuckets.
func (b *buckets) fold(count int) []uint64 {
	digests := make([]uint64, count)
	for i, digest := range b.digests {
		digests[i%count] ^= digest
	}
	return digests
}

// Digest returns a hash of all entries' nodes and versions, which is equal for equal
// directories.
func (d *Directory) Digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.buckets.fold(1)[0]
}

// BucketDigests returns bucket digests. The number of buckets is chosen so that the list
// of digests is about as long as the list of versions of one bucket.
func (d *Directory) BucketDigests() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 1 << (bits.Len(uint(len(d.entries))) / 2)
	return d.buckets.fold(min(count, maxBuckets))
}

// Versions returns the versions of the entries in those buckets whose digests differ
// from peerDigests, with the indexes of these buckets. PeerDigests is input from another
// node and may have any length; Versions returns nothing unless the length is a valid
// bucket count.
func (d *Directory) Versions(peerDigests []uint64) (differing []int, versions map[string]uint64) {
	count := len(peerDigests)
	if !validBucketCount(count) {
		return nil, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	versions = make(map[string]uint64)
	for i, digest := range d.buckets.fold(count) {
		if digest == peerDigests[i] {
			continue
		}
		differing = append(differing, i)
		d.eachInBucket(count, i, func(e Entry) { versions[e.Node] = e.Version })
	}
	return differing, versions
}

// Compare returns the entries in the differing ones of count buckets that are newer than
// the given versions of another node, in random order, and as wanted the nodes whose
// entries are older or missing here. It returns nothing for an invalid count, and ignores
// invalid indexes in differing.
func (d *Directory) Compare(count int, differing []int, versions map[string]uint64) (newer []Entry, wanted []string) {
	if !validBucketCount(count) {
		return nil, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range differing {
		if i < 0 || i >= count {
			continue
		}
		d.eachInBucket(count, i, func(e Entry) {
			if e.Version > versions[e.Node] {
				newer = append(newer, e)
			}
		})
	}
	for node, version := range versions {
		if d.entries[node].Version < version {
			wanted = append(wanted, node)
		}
	}
	slices.Sort(wanted)
	rand.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	return newer, wanted
}

// Entries returns the entries of those of the given nodes that have one.
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

// eachInBucket calls f for the entries of bucket i of count. The lock must be held.
func (d *Directory) eachInBucket(count, i int, f func(Entry)) {
	for ; i < maxBuckets; i += count {
		for node := range d.buckets.nodes[i] {
			f(d.entries[node])
		}
	}
}

// validBucketCount reports whether fold accepts a count, which may come from another node.
func validBucketCount(count int) bool {
	return count >= 1 && count <= maxBuckets && bits.OnesCount(uint(count)) == 1
}
