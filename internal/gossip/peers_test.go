package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
)

func directoryOf(n int) *directory.Directory {
	d := directory.New(directory.Entry{Node: "node-0", Address: "node-0", FailureDomain: "a"}, time.Now)
	addNodes(d, 1, n)
	return d
}

func addNodes(d *directory.Directory, from, to int) {
	for i := from; i < to; i++ {
		name := fmt.Sprint("node-", i)
		d.Merge([]directory.Entry{{Node: name, Version: 1, Address: name, FailureDomain: string(rune('a' + i%4))}})
	}
}

// Guards against connections to all nodes: the usual peers stay few, and a new node
// replaces at most one of them.
func TestUsualPeersAreStable(t *testing.T) {
	p := peers{directory: directoryOf(300)}
	now := time.Now()
	p.refresh(now)
	before := slices.Clone(p.usual)
	assert.Equal(t, len(before), peerCount)
	addNodes(p.directory, 300, 301)
	p.refresh(now.Add(2 * peersRefresh))
	kept := 0
	for _, a := range p.usual {
		if slices.Contains(before, a) {
			kept++
		}
	}
	assert.Assert(t, kept >= peerCount-1, "%d of %d peers kept", kept, peerCount)
}

// Guards against news that crosses failure domains more often than it must, and
// against news that is told to fewer nodes than there are.
func TestNewsStaysNear(t *testing.T) {
	p := peers{directory: directoryOf(300)}
	now := time.Now()
	for range 100 {
		chosen := p.forNews(now, 3)
		assert.Equal(t, len(chosen), 3)
		near := 0
		for _, a := range chosen {
			e, _ := p.directory.Get(a)
			if e.FailureDomain == "a" {
				near++
			}
		}
		assert.Assert(t, near >= 2, "%v", chosen)
	}
	few := peers{directory: directoryOf(3)}
	assert.Equal(t, len(few.forNews(now, 3)), 2)
	alone := peers{directory: directoryOf(1), seeds: []string{"seed:1"}}
	assert.DeepEqual(t, alone.forNews(now, 3), []string{"seed:1"})
}

// Guards against choices that leave groups of nodes apart, and against a node that is
// a usual peer of many more than others.
func TestChoicesOfAllFormOneGraph(t *testing.T) {
	const n = 300
	wanted := map[string]int{}
	links := map[string][]string{}
	for i := range n {
		self := fmt.Sprint("10.0.", i/250, ".", i%250)
		r := newRanking(self, peerCount)
		for j := range n {
			if j != i {
				r.offer(fmt.Sprint("10.0.", j/250, ".", j%250))
			}
		}
		for _, a := range r.addresses() {
			wanted[a]++
			links[self] = append(links[self], a)
			links[a] = append(links[a], self)
		}
		assert.Equal(t, len(r.addresses()), peerCount)
	}
	for a, count := range wanted {
		assert.Assert(t, count <= 3*peerCount, "%s is a peer of %d", a, count)
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
