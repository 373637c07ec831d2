package settings

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Object is one settings object as the platform's store holds it.
type Object struct {
	// Key is "settings/default", "settings/region/R" or "settings/service/S".
	Key string
	// Revision is the store's version of the object, zero when not known. Apply skips
	// an object whose known revision is not newer than the holder's revision in force.
	Revision int64
	// Value is the object's JSON; empty means that the object was deleted.
	Value []byte
}

// Holder holds the settings tree in force at one node. It is safe for concurrent
// use.
type Holder struct {
	state atomic.Pointer[state]
	// mu serialises changes of state; readers only load it.
	mu sync.Mutex
}

// state pairs a tree with its revision, so that a reader always gets the two that
// belong together.
type state struct {
	tree     *Tree
	revision int64
	// refusals holds the objects whose newest state was refused, by object key.
	refusals map[string]Refusal
}

// NewHolder returns a holder with the built-in defaults in force at revision 0.
func NewHolder() *Holder {
	return NewHolderWithDefaults(Defaults())
}

// NewHolderWithDefaults returns a holder in which the given values take the place of the built-in
// defaults.
func NewHolderWithDefaults(defaults Values) *Holder {
	h := &Holder{}
	h.state.Store(&state{tree: emptyTree(defaults)})
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

// Refusals returns the objects whose newest state was refused, sorted by key. The
// last valid state of each of them stays in force.
func (h *Holder) Refusals() []Refusal {
	refusals := h.state.Load().refusals
	list := make([]Refusal, 0, len(refusals))
	for _, key := range slices.Sorted(maps.Keys(refusals)) {
		list = append(list, refusals[key])
	}
	return list
}

// Apply puts the changes up to revision in force. They must include every change
// since the revision in force. A revision that is not newer than the one in force
// fails with ErrOldRevision and changes nothing.
//
// An object that fails validation is refused on its own: its last valid state stays
// in force, the other changes and the revision come into force, and Apply returns a
// *RefusedError. Refusing the whole revision instead would let one invalid object
// block every later edit in the fleet.
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

// ApplySnapshot is Apply for a snapshot of the whole tree: it removes the objects, in
// force or refused, that are not in the snapshot, and it skips no object because of the
// object's own revision.
func (h *Holder) ApplySnapshot(revision int64, objects []Object) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.state.Load()
	if revision <= current.revision {
		return errors.Wrapf(ErrOldRevision, "revision %d, %d is in force", revision, current.revision)
	}
	return h.installSnapshot(revision, objects)
}

// Replace is ApplySnapshot for a store that has returned from an older copy: it also puts a
// revision in force that is not newer than the one in force.
func (h *Holder) Replace(revision int64, objects []Object) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.installSnapshot(revision, objects)
}

// installSnapshot puts a snapshot of the whole tree in force. The caller holds mu.
func (h *Holder) installSnapshot(revision int64, objects []Object) error {
	current := h.state.Load()
	all := make(map[string]Object, len(objects))
	for _, key := range current.keys() {
		all[key] = Object{Key: key, Revision: revision}
	}
	for _, object := range objects {
		all[object.Key] = object
	}
	return h.install(current, revision, all)
}

// install puts the state in force that results from applying the objects to current.
// It leaves out the objects that fail validation and returns them in a *RefusedError.
// The caller holds mu.
func (h *Holder) install(current *state, revision int64, objects map[string]Object) error {
	scopes := make(map[ScopeName]*Scope, len(objects))
	next := &state{revision: revision, refusals: make(map[string]Refusal)}
	maps.Copy(next.refusals, current.refusals)
	var refused []Refusal
	for _, key := range slices.Sorted(maps.Keys(objects)) {
		object := objects[key]
		name, scope, err := decodeObject(object)
		if len(object.Value) == 0 && err != nil {
			// The key is invalid, so the object never came into force and the tree has
			// nothing to remove.
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
	next.tree = current.tree.withScopes(scopes)
	h.state.Store(next)
	if len(refused) > 0 {
		return &RefusedError{Revision: revision, Refusals: refused}
	}
	return nil
}

// decodeObject returns the scope of an object, nil for a deleted object.
func decodeObject(object Object) (ScopeName, *Scope, error) {
	name, err := ParseKey(object.Key)
	if err != nil || len(object.Value) == 0 {
		return name, nil, err
	}
	scope, err := Decode(name, object.Value)
	return name, scope, err
}

// keys returns the keys of all objects that are in force or were refused. It always
// includes the default scope.
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
