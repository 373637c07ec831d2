package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func clock() time.Time { return time.UnixMilli(1_000) }

func entry(node string, version uint64, state UpstreamState) Entry {
	return Entry{Node: node, Version: version, Address: node + ":1", Upstream: &Upstream{ID: fmt.Sprint(node, version), Service: "s", Slots: 1, State: state}}
}

// Guards against an unreachable upstream that appears ready again because an older entry
// arrives after a newer one.
func TestOlderEntryNeverReplacesNewer(t *testing.T) {
	d := New(Entry{Node: "self", Address: "self:1"}, clock)
	d.Merge([]Entry{entry("a", 5, Unreachable)})
	assert.Equal(t, len(d.Merge([]Entry{entry("a", 4, Ready), entry("a", 5, Ready)})), 0)
	e, ok := d.Get("a")
	assert.Assert(t, ok)
	assert.Equal(t, e.Upstream.State, Unreachable)
}

// Guards against a restarted node whose wall clock is behind and whose entries lose to
// those of the process before it.
func TestLocalEntrySupersedesEarlierProcess(t *testing.T) {
	d := New(Entry{Node: "self", Address: "self:1"}, clock)
	changed := d.Merge([]Entry{entry("self", 9_000, Draining)})
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, d.Self().Version, uint64(9_001))
	assert.Assert(t, d.Self().Upstream == nil)
	assert.Equal(t, len(d.Merge([]Entry{entry("self", 9_000, Draining)})), 0)
}

// Guards against entries without a node or an address, which cannot be used, being stored
// when a peer node sends them.
func TestIncompleteEntriesAreIgnored(t *testing.T) {
	d := New(Entry{Node: "self", Address: "self:1"}, clock)
	assert.Equal(t, len(d.Merge([]Entry{{}, {Node: "a"}, {Address: "a:1"}})), 0)
	assert.Equal(t, len(d.All()), 1)
}

// Guards against nodes whose directories differ although they received the same entries,
// in any order and any number of times.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []UpstreamState{Ready, Draining, Unreachable}
		var entries []Entry
		for range rapid.IntRange(1, 30).Draw(t, "entries") {
			version := rapid.Uint64Range(1, 20).Draw(t, "version")
			// A node never uses the same version for two different contents of its entry.
			entries = append(entries, entry(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"), version, states[version%3]))
		}
		one := New(Entry{Node: "self", Address: "self:1"}, clock)
		two := New(Entry{Node: "self", Address: "self:1"}, clock)
		one.Merge(entries)
		for _, e := range rapid.Permutation(append(entries, entries...)).Draw(t, "order") {
			before, known := two.Get(e.Node)
			two.Merge([]Entry{e})
			after, _ := two.Get(e.Node)
			if known && after.Version < before.Version {
				t.Fatalf("version of the entry of %s decreased from %d to %d", e.Node, before.Version, after.Version)
			}
		}
		if one.Digest() != two.Digest() {
			t.Fatalf("directories differ: %v and %v", one.All(), two.All())
		}
	})
}

// Guards against a restarted node that does not learn what the process before it knew
// of the upstream.
func TestEarlierEntryIsReported(t *testing.T) {
	d := New(Entry{Node: "self", Address: "self:1"}, clock)
	var seen []Entry
	d.OnEarlierEntry(func(e Entry) { seen = append(seen, e) })
	d.Merge([]Entry{entry("self", 9_000, Ready), entry("other", 1, Ready)})
	assert.Equal(t, len(seen), 1)
	assert.Equal(t, seen[0].Upstream.ID, "self9000")
}
