package settings

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Object is a new state of one settings object as the platform holds it.
type Object struct {
	// Key is "settings/default", "settings/region/R" or "settings/service/S".
	Key string
	// Revision is the store's version of the object.
	Revision int64
	// Value is the object's JSON; empty means that the object was deleted.
	Value []byte
}

// Holder keeps the tree in force of one node. Its methods may be called by any
// number of goroutines.
type Holder struct {
	state atomic.Pointer[state]
	// mu serialises changes; readers do not take it.
	mu sync.Mutex
}

// state pairs a tree with its revision, so that readers never see the one
// without the other.
type state struct {
	tree     *Tree
	revision int64
	refusals map[string]Refusal
}

// NewHolder returns a holder with the built-in defaults in force at revision 0.
func NewHolder() *Holder {
	h := &Holder{}
	h.state.Store(&state{tree: emptyTree()})
	return h
}

// Tree returns the tree in force.
func (h *Holder) Tree() *Tree {
	return h.state.Load().tree
}

// Revision returns the revision in force; 0 means the built-in defaults.
func (h *Holder) Revision() int64 {
	return h.state.Load().revision
}

// Current returns the tree in force with its revision.
func (h *Holder) Current() (*Tree, int64) {
	s := h.state.Load()
	return s.tree, s.revision
}

// Refusals returns the objects whose newest state was refused, sorted by key.
// For each of them the last good state is in force.
func (h *Holder) Refusals() []Refusal {
	refusals := h.state.Load().refusals
	list := make([]Refusal, 0, len(refusals))
	for _, key := range slices.Sorted(maps.Keys(refusals)) {
		list = append(list, refusals[key])
	}
	return list
}

// Apply brings the changes up to revision into force; they must be complete from
// the revision in force on. A revision that is not newer than the one in force
// fails with ErrOldRevision and changes nothing.
//
// An object that fails the check is refused on its own: its last good state
// stays in force, the other changes and the revision come into force, and Apply
// returns a *RefusedError. Refusing the whole revision instead would let one bad
// object hold back every later edit of the fleet.
func (h *Holder) Apply(revision int64, changes []Object) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.state.Load()
	if revision <= current.revision {
		return errors.Wrapf(ErrOldRevision, "revision %d, %d is in force", revision, current.revision)
	}
	newer := make(map[string]Object, len(changes))
	for _, change := range changes {
		if change.Revision == 0 || change.Revision > current.revision {
			newer[change.Key] = change
		}
	}
	return h.install(current, revision, newer)
}

// ApplySnapshot is Apply for the whole tree: objects that are not in it are
// gone.
func (h *Holder) ApplySnapshot(revision int64, objects []Object) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.state.Load()
	if revision <= current.revision {
		return errors.Wrapf(ErrOldRevision, "revision %d, %d is in force", revision, current.revision)
	}
	whole := make(map[string]Object, len(objects))
	for _, key := range current.keys() {
		whole[key] = Object{Key: key, Revision: revision}
	}
	for _, object := range objects {
		whole[object.Key] = object
	}
	return h.install(current, revision, whole)
}

func (h *Holder) install(current *state, revision int64, objects map[string]Object) error {
	scopes := make(map[ScopeName]*Scope, len(objects))
	next := &state{revision: revision, refusals: make(map[string]Refusal)}
	maps.Copy(next.refusals, current.refusals)
	var refused []Refusal
	for _, key := range slices.Sorted(maps.Keys(objects)) {
		object := objects[key]
		name, scope, err := decodeObject(object)
		if len(object.Value) == 0 && err != nil {
			// A deleted object whose key was never accepted leaves nothing behind.
			delete(next.refusals, key)
			continue
		}
		if err != nil {
			refusal := Refusal{Key: key, Revision: object.Revision, Err: err}
			next.refusals[key] = refusal
			refused = append(refused, refusal)
			continue
		}
		delete(next.refusals, key)
		scopes[name] = scope
	}
	next.tree = current.tree.with(scopes)
	h.state.Store(next)
	if len(refused) > 0 {
		return &RefusedError{Revision: revision, Refusals: refused}
	}
	return nil
}

// decodeObject returns a nil scope for a deleted object.
func decodeObject(object Object) (ScopeName, *Scope, error) {
	name, err := ParseKey(object.Key)
	if err != nil || len(object.Value) == 0 {
		return name, nil, err
	}
	scope, err := Decode(name, object.Value)
	return name, scope, err
}

// keys returns the keys of all objects that the state knows of.
func (s *state) keys() []string {
	keys := []string{ScopeName{Level: LevelDefault}.Key()}
	for _, region := range s.tree.Regions() {
		keys = append(keys, ScopeName{Level: LevelRegion, Name: region}.Key())
	}
	for _, service := range s.tree.Services() {
		keys = append(keys, ScopeName{Level: LevelService, Name: service}.Key())
	}
	return append(keys, slices.Collect(maps.Keys(s.refusals))...)
}
