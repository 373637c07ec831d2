// Package directory holds what this node knows of all nodes and their upstreams.
// Each node writes its own entry; entries spread through the platform's store and
// from node to node, and of two entries of one address the higher version holds.
package directory

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// KeyPrefix is where nodes keep their entries in the store.
const KeyPrefix = "nodes/"

// removedRetention is how long a removed entry is kept, so that no node that was
// cut off for an hour brings it back.
const removedRetention = 2 * time.Hour

// Directory is safe for concurrent use.
type Directory struct {
	now func() time.Time

	mu      sync.Mutex
	self    Entry
	entries map[string]Entry
	buckets buckets
	// generation rises when a node comes, goes or changes its place.
	generation uint64
	changed    []func([]Entry)
	earlier    func(Entry)
}

// New returns a directory that holds only the entry of this node. Now is the
// clock; its time of day makes the first version exceed that of earlier
// processes at this address, and a version that is behind is raised once the
// earlier entry is seen.
func New(self Entry, now func() time.Time) *Directory {
	self.Version = uint64(max(1, now().UnixMilli()))
	self.Learned = now()
	d := &Directory{now: now, self: self, entries: make(map[string]Entry)}
	d.put(self)
	return d
}

// OnChange registers a function that receives the entries that changed. It is
// called without the lock and must not be registered later than the first merge.
func (d *Directory) OnChange(f func([]Entry)) {
	d.changed = append(d.changed, f)
}

// OnEarlierEntry registers a function that receives the entry of an earlier process at
// this node's address. Like OnChange it must not be registered later.
func (d *Directory) OnEarlierEntry(f func(Entry)) {
	d.earlier = f
}

// UpdateSelf changes this node's entry and returns it. It does nothing when f
// leaves the entry as it was.
func (d *Directory) UpdateSelf(f func(*Entry)) Entry {
	d.mu.Lock()
	next := d.self
	if next.Upstream != nil {
		upstream := *next.Upstream
		next.Upstream = &upstream
	}
	f(&next)
	if sameEntry(next, d.self) {
		d.mu.Unlock()
		return next
	}
	next.Version = d.self.Version + 1
	next.Learned = d.now()
	d.self = next
	d.put(next)
	d.mu.Unlock()
	d.notify([]Entry{next})
	return next
}

func sameEntry(a, b Entry) bool {
	if (a.Upstream == nil) != (b.Upstream == nil) {
		return false
	}
	if a.Upstream != nil && *a.Upstream != *b.Upstream {
		return false
	}
	return a.Leaving == b.Leaving && a.Removed == b.Removed && a.Address == b.Address
}

// Merge takes in entries of other writers and returns those that were news. A
// foreign entry of this node's own address raises the version of its own.
func (d *Directory) Merge(entries []Entry) []Entry {
	d.mu.Lock()
	var news, earlier []Entry
	for _, e := range entries {
		if e.Node == "" || e.Address == "" {
			continue
		}
		if e.Node == d.self.Node {
			if raised, ok := d.raise(e); ok {
				news = append(news, raised)
			}
			earlier = append(earlier, e)
			continue
		}
		if known, ok := d.entries[e.Node]; ok && known.Version >= e.Version {
			continue
		}
		e.Learned = d.now()
		d.put(e)
		news = append(news, e)
	}
	d.mu.Unlock()
	if len(news) > 0 {
		d.notify(news)
	}
	for _, e := range earlier {
		if d.earlier != nil {
			d.earlier(e)
		}
	}
	return news
}

// raise makes this node's entry newer than one of an earlier process.
func (d *Directory) raise(e Entry) (Entry, bool) {
	if e.Version < d.self.Version || (e.Version == d.self.Version && sameEntry(e, d.self)) {
		return Entry{}, false
	}
	d.self.Version = e.Version + 1
	d.put(d.self)
	return d.self, true
}

// put stores an entry. The caller holds the lock.
func (d *Directory) put(e Entry) {
	before := d.entries[e.Node]
	d.buckets.replace(before, e)
	if before.Address != e.Address || before.Removed != e.Removed || before.FailureDomain != e.FailureDomain {
		d.generation++
	}
	d.entries[e.Node] = e
}

func (d *Directory) notify(news []Entry) {
	for _, f := range d.changed {
		f(news)
	}
}

// Remove marks the entry of a node that was found dead. A node that lives after
// all sees it and raises its own version. It reports whether the entry was there.
func (d *Directory) Remove(node string, version uint64) bool {
	d.mu.Lock()
	e, ok := d.entries[node]
	if !ok || node == d.self.Node || e.Removed || e.Version != version {
		d.mu.Unlock()
		return false
	}
	e.Removed = true
	e.Version++
	e.Learned = d.now()
	d.put(e)
	d.forgetRemoved()
	d.mu.Unlock()
	d.notify([]Entry{e})
	return true
}

// forgetRemoved drops entries removed so long ago that every node knows. The
// caller holds the lock.
func (d *Directory) forgetRemoved() {
	for node, e := range d.entries {
		if e.Removed && d.now().Sub(e.Learned) > removedRetention {
			d.buckets.remove(e)
			delete(d.entries, node)
		}
	}
}

// Successor returns the entry after this node's in the order of the addresses,
// leaving out removed ones, and false without any. Every node is the successor
// of one other.
func (d *Directory) Successor() (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first, next Entry
	d.eachOther(func(e Entry) {
		if first.Node == "" || e.Node < first.Node {
			first = e
		}
		if e.Node > d.self.Node && (next.Node == "" || e.Node < next.Node) {
			next = e
		}
	})
	if next.Node == "" {
		next = first
	}
	return next, next.Node != ""
}

// Self returns this node's entry.
func (d *Directory) Self() Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// Get returns the entry of an address.
func (d *Directory) Get(node string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[node]
	return e, ok
}

// All returns all entries, sorted by address.
func (d *Directory) All() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Entry, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Node, b.Node) })
	return all
}

// Generation rises whenever EachOther would visit other nodes than before, or these
// at other places.
func (d *Directory) Generation() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// EachPeer calls f for the entries of the other nodes that were not removed. It
// holds the lock meanwhile.
func (d *Directory) EachPeer(f func(Entry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.eachOther(f)
}

// eachOther is EachOther for a caller that holds the lock.
func (d *Directory) eachOther(f func(Entry)) {
	for node, e := range d.entries {
		if node != d.self.Node && !e.Removed {
			f(e)
		}
	}
}

// Size returns the number of nodes that were not removed, this one included.
func (d *Directory) Size() int {
	size := 1
	d.EachPeer(func(Entry) { size++ })
	return size
}

// Peers returns the addresses of the other nodes that were not removed.
func (d *Directory) Peers() []string {
	var peers []string
	d.EachPeer(func(e Entry) { peers = append(peers, e.Address) })
	slices.Sort(peers)
	return peers
}
