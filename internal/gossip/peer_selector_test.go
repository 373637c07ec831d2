package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
)

// directoryOf returns the directory of node-0 in a fleet of n nodes.
func directoryOf(n int) *directory.Directory {
	d := directory.New(directory.Entry{Node: "node-0:1", Address: "node-0:1", FailureDomain: "a"}, time.Now)
	addNodes(d, 1, n)
	return d
}

// addNodes adds the nodes with the numbers from <= i < to, in four failure domains.
func addNodes(d *directory.Directory, from, to int) {
	for i := from; i < to; i++ {
		name := fmt.Sprint("node-", i, ":1")
		d.Merge([]directory.Entry{{Node: name, Version: 1, Address: name, FailureDomain: string(rune('a' + i%4))}})
	}
}

// Guards against connections to all nodes: there are few preferred peers, and a new
// node replaces at most one of them.
func TestPreferredPeersAreStable(t *testing.T) {
	p := peerSelector{directory: directoryOf(300)}
	now := time.Now()
	p.refresh(now)
	before := slices.Clone(p.preferred)
	assert.Equal(t, len(before), preferredCount)
	addNodes(p.directory, 300, 301)
	p.refresh(now.Add(2 * refreshInterval))
	kept := 0
	for _, a := range p.preferred {
		if slices.Contains(before, a) {
			kept++
		}
	}
	assert.Assert(t, kept >= preferredCount-1, "%d of %d peers kept", kept, preferredCount)
}

// Guards against updates that are sent to other failure domains more often than
// necessary, and against updates that are sent to fewer peers than requested although
// more are known.
func TestUpdatesPreferSameFailureDomain(t *testing.T) {
	p := peerSelector{directory: directoryOf(300)}
	now := time.Now()
	for range 100 {
		chosen := p.forUpdate(now, 3)
		assert.Equal(t, len(chosen), 3)
		sameDomain := 0
		for _, a := range chosen {
			e, _ := p.directory.Get(a)
			if e.FailureDomain == "a" {
				sameDomain++
			}
		}
		assert.Assert(t, sameDomain >= 2, "%v", chosen)
	}
	few := peerSelector{directory: directoryOf(3)}
	assert.Equal(t, len(few.forUpdate(now, 3)), 2)
	alone := peerSelector{directory: directoryOf(1), seeds: []string{"seed:1"}}
	assert.DeepEqual(t, alone.forUpdate(now, 3), []string{"seed:1"})
}

// Guards against choices that leave groups of nodes disconnected, and against a node
// that is a preferred peer of many more nodes than others are.
func TestPeerChoicesFormConnectedGraph(t *testing.T) {
	const n = 300
	inDegree := map[string]int{}
	links := map[string][]string{}
	for i := range n {
		self := fmt.Sprint("10.0.", i/250, ".", i%250)
		r := newRanking(self, preferredCount)
		for j := range n {
			if j != i {
				r.add(fmt.Sprint("10.0.", j/250, ".", j%250))
			}
		}
		for _, a := range r.addresses() {
			inDegree[a]++
			links[self] = append(links[self], a)
			links[a] = append(links[a], self)
		}
		assert.Equal(t, len(r.addresses()), preferredCount)
	}
	for a, count := range inDegree {
		assert.Assert(t, count <= 3*preferredCount, "%s is a peer of %d", a, count)
	}
	seen := map[string]bool{}
	next := []string{"10.0.0.0"}
	for len(next) > 0 {
		a := next[0]
		next = next[1:]
		if !seen[a] {
			seen[a] = true
			next = append(next, links[a]...)
		}
	}
	assert.Equal(t, len(seen), n)
}
