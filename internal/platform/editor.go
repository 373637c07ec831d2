package platform

import (
	"context"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Editor makes conditional updates whose values carry a write id, by which a
// writer that lost the answer recognises the effect as its own. It makes no
// second attempt itself.
type Editor struct {
	Store Store
	// WriteID returns the write id that a stored value carries, empty when there
	// is none.
	WriteID func(value []byte) string
}

// Write is one conditional update. Value carries ID.
type Write struct {
	Key       string
	IfVersion int64
	Value     []byte
	ID        string
}

// Outcome is what is known about a Write.
type Outcome uint8

const (
	// Unresolved means that the write may have had no effect yet and that a late
	// one may still come. The same Write may be tried again.
	Unresolved Outcome = iota
	// NotSent means that the write had no effect and will have none.
	NotSent
	// Applied means that the write took effect. The object is the present one.
	Applied
	// Conflicted means that the object's version moved and the present value
	// carries another write id; the write can take no effect any more. It may
	// have taken effect and been replaced since, which only the present value
	// can show.
	Conflicted
)

// NewWriteID returns an id for one write; repeated attempts use the same one.
func NewWriteID() string {
	return uuid.NewString()
}

// Attempt sends the write once and, when the answer does not settle its
// outcome, reads the object back. The object is the present one for Applied and
// Conflicted. The error says why the outcome is Unresolved, NotSent or
// Conflicted.
func (e *Editor) Attempt(ctx context.Context, w Write) (Outcome, Object, error) {
	present, err := e.Store.Update(ctx, w.Key, w.IfVersion, w.Value)
	if err == nil {
		return Applied, present, nil
	}
	coded := resultcode.From(err)
	switch {
	case coded.Code == resultcode.SettingsConflict:
		return e.compare(w, present)
	case coded.Execution == resultcode.NotRun:
		return NotSent, Object{}, err
	}
	outcome, present, readErr := e.Resolve(ctx, w)
	if outcome == Unresolved {
		return Unresolved, Object{}, err
	}
	return outcome, present, readErr
}

// Resolve reads the object back to learn what became of the write. An object
// that is unchanged leaves it Unresolved: the write may still be on its way.
func (e *Editor) Resolve(ctx context.Context, w Write) (Outcome, Object, error) {
	present, err := e.Store.Get(ctx, w.Key)
	if err != nil && resultcode.From(err).Code != resultcode.ScopeNotFound {
		return Unresolved, Object{}, err
	}
	if err != nil {
		present = Object{Key: w.Key}
	}
	if present.Version == w.IfVersion {
		return Unresolved, Object{}, resultcode.New(resultcode.PlatformUnavailable,
			"object %q is still at version %d; write %s may still take effect", w.Key, w.IfVersion, w.ID)
	}
	return e.compare(w, present)
}

func (e *Editor) compare(w Write, present Object) (Outcome, Object, error) {
	if present.Version != 0 && e.WriteID(present.Value) == w.ID {
		return Applied, present, nil
	}
	return Conflicted, present, resultcode.New(resultcode.SettingsConflict,
		"object %q has version %d; the condition was version %d", w.Key, present.Version, w.IfVersion)
}
