package directory

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against two directories that still differ after they were compared, and
// against a comparison that transfers entries which both have.
func TestComparisonMakesDirectoriesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := New(Entry{Node: "one", Address: "one:1"}, clock), New(Entry{Node: "two", Address: "two:1"}, clock)
		var common []Entry
		for i := range rapid.IntRange(0, 200).Draw(t, "common") {
			common = append(common, entry(fmt.Sprint("n", i), 1, Ready))
		}
		for _, d := range []*Directory{one, two} {
			d.Merge(common)
		}
		version := 2
		for _, d := range []*Directory{one, two} {
			for range rapid.IntRange(0, 10).Draw(t, "changes") {
				version++
				d.Merge([]Entry{entry(fmt.Sprint("n", rapid.IntRange(0, 220).Draw(t, "node")), uint64(version), Unreachable)})
			}
		}
		digests := two.BucketDigests()
		differing, versions := one.Versions(digests)
		entries, wanted := two.Compare(len(digests), differing, versions)
		assert.Assert(t, len(entries) <= 11 && len(wanted) <= 11, "%d and %d entries for at most 10 changes and the own entry on each side", len(entries), len(wanted))
		one.Merge(entries)
		two.Merge(one.Entries(wanted))
		assert.Equal(t, one.Digest(), two.Digest())
		assert.Equal(t, len(one.All()), len(two.All()))
	})
}

// Guards against a panic on a bucket count or bucket indexes out of range from a peer,
// against a result for an invalid count, and against invalid indexes that prevent the
// comparison of the versions.
func TestComparisonWithInvalidBuckets(t *testing.T) {
	d := New(Entry{Node: "self", Address: "self:1"}, clock)
	for _, digests := range [][]uint64{nil, make([]uint64, 3), make([]uint64, 2*maxBuckets)} {
		differing, _ := d.Versions(digests)
		assert.Equal(t, len(differing), 0)
	}
	for _, count := range []int{-1, 0, 3, 2 * maxBuckets} {
		newer, wanted := d.Compare(count, []int{0}, map[string]uint64{"a": 1})
		assert.Equal(t, len(newer)+len(wanted), 0)
	}
	newer, wanted := d.Compare(4, []int{-1, 4, 9}, map[string]uint64{"a": 1})
	assert.Equal(t, len(newer), 0)
	assert.DeepEqual(t, wanted, []string{"a"})
}

// Guards against digests that depend on the order or the number of changes, by which two
// directories with equal entries would count as different, and against a digest that
// stays the same when entries change.
func TestDigestFollowsEntries(t *testing.T) {
	d := New(Entry{Node: "self", Address: "self:1"}, clock)
	before := d.Digest()
	d.Merge([]Entry{entry("a", 5, Ready), entry("b", 5, Ready)})
	d.Merge([]Entry{entry("a", 6, Draining)})
	other := New(Entry{Node: "self", Address: "self:1"}, clock)
	other.Merge([]Entry{entry("b", 5, Ready), entry("a", 6, Draining)})
	assert.Equal(t, d.Digest(), other.Digest())
	assert.Assert(t, d.Digest() != before)
}
