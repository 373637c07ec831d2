// Package directory holds the entries of all known nodes and their upstreams. Each node
// writes its own entry. Entries are disseminated through the platform's store and from
// node to node. Of two entries of one node, the one with the higher version wins.
package directory

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// KeyPrefix is the prefix of the keys under which nodes keep their entries in the store.
const KeyPrefix = "nodes/"

// removedRetention is how long a removed entry is kept, so that a node that was
// partitioned for an hour does not restore the version before the removal.
const removedRetention = 2 * time.Hour

// Directory is this node's replica of the entries of all nodes. It is safe for
// concurrent use.
type Directory struct {
	now func() time.Time

	mu   sync.Mutex
	self Entry
	// entries holds all entries, including this node's and removed ones, by node.
	entries map[string]Entry
	buckets buckets
	// generation increases when a node is added or removed, leaves, or changes its address or
	// failure domain.
	generation uint64
	// peers is the number of other nodes that are not removed.
	peers int
	// successor is the node that Successor returned at successorAt, a generation.
	successor      string
	successorAt    uint64
	onChange       []func([]Entry)
	onEarlierEntry func(Entry)
	onRefused      func(node string, err error)
	onLeaveMissing func(known, newer Entry)
}

// New returns a directory that holds only the entry of this node. Now is the wall clock.
// The first version of the entry is the current time in milliseconds, which normally
// exceeds the versions of earlier processes at this address; a version that is too low is
// raised once the entry of the earlier process is received.
func New(self Entry, now func() time.Time) *Directory {
	self.Version = uint64(max(1, now().UnixMilli()))
	self.Learned = now()
	d := &Directory{now: now, self: self, entries: make(map[string]Entry)}
	d.put(self)
	return d
}

// OnChange registers a function that receives the entries that changed. The function is
// called without the lock held. It must be registered before the first merge.
func (d *Directory) OnChange(f func([]Entry)) {
	d.onChange = append(d.onChange, f)
}

// OnEarlierEntry registers a function that receives the entry of an earlier process at
// this node's address. It also receives entries of this process that other nodes or the
// store return, some of them marked as removed. It must be registered before the first
// merge.
func (d *Directory) OnEarlierEntry(f func(Entry)) {
	d.onEarlierEntry = f
}

// OnRefused registers a function that receives the node and the error of each entry that Merge
// refuses. The function is called without the lock held. It must be registered before the first
// merge.
func (d *Directory) OnRefused(f func(node string, err error)) {
	d.onRefused = f
}

// OnLeaveMissing registers a function that receives the known entry of another node, whose upstream
// leaves, and a newer one that replaces it and does not show that. The function is called without
// the lock held. It must be registered before the first merge.
func (d *Directory) OnLeaveMissing(f func(known, newer Entry)) {
	d.onLeaveMissing = f
}

// UpdateSelf changes this node's entry with f, raises its version and returns the entry.
// If f leaves the entry unchanged, its version stays and nobody is notified.
func (d *Directory) UpdateSelf(f func(*Entry)) Entry {
	d.mu.Lock()
	next := d.self
	if next.Upstream != nil {
		upstream := *next.Upstream
		next.Upstream = &upstream
	}
	f(&next)
	if sameContent(next, d.self) {
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

// sameContent reports whether two entries of this node are equal in the fields that may
// change while it runs, other than the version.
func sameContent(a, b Entry) bool {
	if (a.Upstream == nil) != (b.Upstream == nil) {
		return false
	}
	if a.Upstream != nil && *a.Upstream != *b.Upstream {
		return false
	}
	return a.Leaving == b.Leaving && a.Removed == b.Removed && a.Address == b.Address
}

// Merge stores the entries of other writers that are newer than the known ones, and
// returns the entries that changed. It refuses each entry that is not valid by itself. An
// entry for this node, written by an earlier process at its address or by a node that
// removed it, is not stored; if it is newer than this node's own entry, or as new with
// other content, the version of the latter is raised above it.
func (d *Directory) Merge(entries []Entry) []Entry {
	entries = d.selectValid(entries)
	d.mu.Lock()
	var changed, earlier []Entry
	var missing []replacement
	for _, e := range entries {
		if e.Node == d.self.Node {
			if raised, ok := d.raiseVersion(e); ok {
				changed = append(changed, raised)
			}
			earlier = append(earlier, e)
			continue
		}
		known := d.entries[e.Node]
		if known.Version >= e.Version {
			continue
		}
		if known.leaveMissingIn(e) {
			missing = append(missing, replacement{known, e})
		}
		e.Learned = d.now()
		d.put(e)
		changed = append(changed, e)
	}
	d.mu.Unlock()
	if len(changed) > 0 {
		d.notify(changed)
	}
	for _, e := range earlier {
		if d.onEarlierEntry != nil {
			d.onEarlierEntry(e)
		}
	}
	for _, r := range missing {
		if d.onLeaveMissing != nil {
			d.onLeaveMissing(r.known, r.newer)
		}
	}
	return changed
}

// replacement is a known entry and the newer one that has replaced it.
type replacement struct {
	known, newer Entry
}

// selectValid returns the valid entries and reports the others.
func (d *Directory) selectValid(entries []Entry) []Entry {
	now := d.now()
	valid := make([]Entry, 0, len(entries))
	for _, e := range entries {
		err := e.Validate(now)
		if err == nil {
			valid = append(valid, e)
		} else if d.onRefused != nil {
			d.onRefused(e.Node, err)
		}
	}
	return valid
}

// raiseVersion raises the version of this node's own entry above that of e, an entry for
// this node from another writer. It returns false if this is not necessary.
func (d *Directory) raiseVersion(e Entry) (Entry, bool) {
	if e.Version < d.self.Version || (e.Version == d.self.Version && sameContent(e, d.self)) {
		return Entry{}, false
	}
	d.self.Version = e.Version + 1
	d.put(d.self)
	return d.self, true
}

// put stores an entry. The lock must be held.
func (d *Directory) put(e Entry) {
	before := d.entries[e.Node]
	d.buckets.replace(before, e)
	if before.Address != e.Address || before.Removed != e.Removed || before.Leaving != e.Leaving || before.FailureDomain != e.FailureDomain {
		d.generation++
	}
	if d.isPeer(before) {
		d.peers--
	}
	if d.isPeer(e) {
		d.peers++
	}
	d.entries[e.Node] = e
}

// isPeer reports whether an entry is that of another node and not removed.
func (d *Directory) isPeer(e Entry) bool {
	return e.Node != "" && e.Node != d.self.Node && !e.Removed
}

// notify calls the functions registered with OnChange. The lock must not be held.
func (d *Directory) notify(changed []Entry) {
	for _, f := range d.onChange {
		f(changed)
	}
}

// Remove marks the entry of a dead node as removed if it still has the given version,
// and reports whether it did. A node that is alive after all receives the removed entry
// and raises its own version above it.
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
	d.purgeRemoved()
	d.mu.Unlock()
	d.notify([]Entry{e})
	return true
}

// purgeRemoved deletes the entries that were removed more than removedRetention ago: by
// then every node has learned of the removal. The lock must be held.
func (d *Directory) purgeRemoved() {
	for node, e := range d.entries {
		if e.Removed && d.now().Sub(e.Learned) > removedRetention {
			d.buckets.remove(e)
			delete(d.entries, node)
		}
	}
}

// Successor returns the entry after this node's in the circular order of the addresses,
// without removed entries, or false if there is none. Every node is the successor of
// exactly one other node.
func (d *Directory) Successor() (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.successorAt != d.generation {
		d.successor, d.successorAt = d.findSuccessor(), d.generation
	}
	next, ok := d.entries[d.successor]
	return next, ok
}

// findSuccessor visits all entries. The lock must be held.
func (d *Directory) findSuccessor() string {
	first, next := "", ""
	d.eachPeer(func(e Entry) {
		if first == "" || e.Node < first {
			first = e.Node
		}
		if e.Node > d.self.Node && (next == "" || e.Node < next) {
			next = e.Node
		}
	})
	if next == "" {
		return first
	}
	return next
}

// Self returns this node's entry.
func (d *Directory) Self() Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// Get returns the entry of a node, which may be a removed one, or false if there is none.
func (d *Directory) Get(node string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[node]
	return e, ok
}

// All returns all entries, including removed ones, sorted by node.
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

// Generation returns a number that increases whenever EachPeer would visit other nodes
// than before, or the same nodes with other addresses or failure domains, or when one of them
// begins to leave.
func (d *Directory) Generation() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// EachPeer calls f for the entries of the other nodes that are not removed. It holds the
// lock meanwhile, so f must not call methods of the directory.
func (d *Directory) EachPeer(f func(Entry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.eachPeer(f)
}

// eachPeer is EachPeer without locking. The lock must be held.
func (d *Directory) eachPeer(f func(Entry)) {
	for node, e := range d.entries {
		if node != d.self.Node && !e.Removed {
			f(e)
		}
	}
}

// Size returns the number of nodes that are not removed, including this one.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return 1 + d.peers
}

// Peers returns the sorted addresses of the other nodes that are not removed.
func (d *Directory) Peers() []string {
	var peers []string
	d.EachPeer(func(e Entry) { peers = append(peers, e.Address) })
	slices.Sort(peers)
	return peers
}
