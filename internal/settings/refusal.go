package settings

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// ErrOldRevision means that a revision is not newer than the one in force.
var ErrOldRevision = errors.New("settings: the revision is not newer than the one in force")

// Refusal is an invalid state of a settings object that a node did not put in force.
type Refusal struct {
	// Key is the object's key in the store.
	Key string
	// Revision is the refused version of the object, zero when not known.
	Revision int64
	// Err is a SettingsInvalid error.
	Err error
}

// RefusedError lists the objects that were refused when the rest of a revision came
// into force.
type RefusedError struct {
	// Revision is the one that came into force without the refused objects.
	Revision int64
	// Refusals is never empty and sorted by key.
	Refusals []Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	lines := make([]string, 0, len(e.Refusals))
	for _, r := range e.Refusals {
		lines = append(lines, fmt.Sprintf("revision %d of %s refused, its last good state stays in force: %v", r.Revision, r.Key, r.Err))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first refusal's error, which carries the result code.
func (e *RefusedError) Unwrap() error {
	return e.Refusals[0].Err
}
