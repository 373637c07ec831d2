package platform

import (
	"context"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Editor makes conditional updates whose values carry a write id. After a lost
// response, the writer compares the id with that of the stored value to find out
// whether its own write took effect. Editor does not retry.
type Editor struct {
	Store Store
	// WriteID returns the write id that a stored value carries, or an empty string
	// when there is none.
	WriteID func(value []byte) string
}

// Write is one conditional update.
type Write struct {
	Key string
	// IfVersion is the version that the object must have; zero means that the object
	// must not exist.
	IfVersion int64
	// Value has to carry ID, so that Editor.WriteID returns ID for Value.
	Value []byte
	// ID is the write id, which all attempts at the write share.
	ID string
}

// Outcome is what is known about a Write.
type Outcome uint8

const (
	// Unresolved means that it is not known whether the write took effect; it may also
	// do so later. The same Write may be attempted again.
	Unresolved Outcome = iota
	// NotSent means that the write had no effect and will have none: it was not sent, or
	// the store refused it for another reason than its condition.
	NotSent
	// Applied means that the write took effect. The returned object is the current one.
	Applied
	// Conflicted means that the object's version is not that of the condition, and that
	// the current value carries another write id or the object does not exist; the
	// write can no longer take effect. It may have taken effect and been replaced
	// since; whether it has, the caller can tell at most from the current value.
	Conflicted
)

// NewWriteID returns an id for one write; all attempts at the write use the same id.
func NewWriteID() string {
	return uuid.NewString()
}

// Attempt sends the write once and, when the response does not determine its
// outcome, reads the object back. The returned object is the current one for
// Applied and Conflicted. The error says why the outcome is Unresolved, NotSent
// or Conflicted.
func (e *Editor) Attempt(ctx context.Context, w Write) (Outcome, Object, error) {
	current, err := e.Store.Update(ctx, w.Key, w.IfVersion, w.Value)
	if err == nil {
		return Applied, current, nil
	}
	resultErr := resultcode.From(err)
	switch {
	case resultErr.Code == resultcode.SettingsConflict:
		return e.compare(w, current)
	case resultErr.Execution == resultcode.NotRun:
		return NotSent, Object{}, err
	}
	outcome, current, readErr := e.Resolve(ctx, w)
	if outcome == Unresolved {
		return Unresolved, Object{}, err
	}
	return outcome, current, readErr
}

// Resolve reads the object back to determine the outcome of the write. The outcome
// is Unresolved when the object cannot be read, and when it is unchanged: the write
// may still be in transit.
func (e *Editor) Resolve(ctx context.Context, w Write) (Outcome, Object, error) {
	current, err := e.Store.Get(ctx, w.Key)
	if err != nil && resultcode.From(err).Code != resultcode.ScopeNotFound {
		return Unresolved, Object{}, err
	}
	if err != nil {
		current = Object{Key: w.Key}
	}
	if current.Version == w.IfVersion {
		return Unresolved, Object{}, resultcode.New(resultcode.PlatformUnavailable,
			"object %q is still at version %d; write %s may still take effect", w.Key, w.IfVersion, w.ID)
	}
	return e.compare(w, current)
}

// compare determines from the current object the outcome of a write whose condition no
// longer holds.
func (e *Editor) compare(w Write, current Object) (Outcome, Object, error) {
	if current.Version != 0 && e.WriteID(current.Value) == w.ID {
		return Applied, current, nil
	}
	return Conflicted, current, resultcode.New(resultcode.SettingsConflict,
		"object %q has version %d; the condition was version %d", w.Key, current.Version, w.IfVersion)
}
