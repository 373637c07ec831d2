package directory

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a successor or a number of nodes that is not that of the present entries: a
// dead node would then be watched by nobody.
func TestSuccessorFollowsTheEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(Entry{Node: "m", Address: "m:1"}, clock)
		for version := range uint64(rapid.IntRange(1, 40).Draw(t, "changes")) {
			e := entry(rapid.SampledFrom([]string{"a", "c", "n", "p", "z"}).Draw(t, "node"), version+1, Ready)
			if rapid.Bool().Draw(t, "dead") {
				known, _ := d.Get(e.Node)
				d.Remove(e.Node, known.Version)
			} else {
				d.Merge([]Entry{e})
			}
			next, ok := d.Successor()
			if next.Node != d.findSuccessor() || ok != (next.Node != "") {
				t.Fatalf("successor %q, want %q", next.Node, d.findSuccessor())
			}
			if ok && next.Version != d.entries[next.Node].Version {
				t.Fatalf("version %d of the successor is old", next.Version)
			}
			if d.Size() != 1+len(d.Peers()) {
				t.Fatalf("size %d, want %d", d.Size(), 1+len(d.Peers()))
			}
		}
	})
}

// Guards against a removed entry that stays the successor.
func TestRemovedNodeIsNoSuccessor(t *testing.T) {
	d := New(Entry{Node: "m", Address: "m:1"}, clock)
	d.Merge([]Entry{entry("n", 1, Ready), entry("p", 1, Ready)})
	next, _ := d.Successor()
	assert.Equal(t, next.Node, "n")
	d.Remove("n", 1)
	next, _ = d.Successor()
	assert.Equal(t, next.Node, "p")
}

// BenchmarkSuccessor is asked for twice a second by each node.
func BenchmarkSuccessor(b *testing.B) {
	for _, n := range []int{300, 16_000} {
		d := New(Entry{Node: "m", Address: "m:1"}, clock)
		for i := range n {
			d.Merge([]Entry{entry(fmt.Sprint("n-", i), 1, Ready)})
		}
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			for range b.N {
				d.Successor()
			}
		})
	}
}
