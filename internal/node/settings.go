package node

import (
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/settingsync"
)

// settingsInForce applies the updates of the settings syncer, resolves the settings in
// force for the data path, and calls onChange after each new revision.
type settingsInForce struct {
	holder *settings.Holder
	// onChange is called after each revision that comes into force.
	onChange func(revision int64)
	// onRefused is called with a *settings.RefusedError before onChange when objects
	// of the revision were refused.
	onRefused func(err error)
}

func newSettingsInForce() *settingsInForce {
	return &settingsInForce{holder: settings.NewHolder()}
}

// Resolve returns the values in force at a path.
func (s *settingsInForce) Resolve(p settings.Path) settings.Values {
	return s.holder.Tree().Resolve(p)
}

// MatchKind returns the call kind whose match rules select a request, or the empty
// string when none does.
func (s *settingsInForce) MatchKind(service, method, path string) string {
	return s.holder.Tree().MatchKind(service, method, path)
}

// apply implements settingsync.Apply. A refused object keeps its last valid state
// while the rest of the revision comes into force, so apply passes a refusal to onRefused
// and returns no error for it.
func (s *settingsInForce) apply(u settingsync.Update) error {
	objects := make([]settings.Object, 0, len(u.Changes))
	for _, c := range u.Changes {
		object := settings.Object{Key: c.Key, Revision: c.Revision, Value: c.Value}
		if c.Deleted {
			object.Value = nil
		}
		objects = append(objects, object)
	}
	err := s.applyObjects(u, objects)
	var refusal *settings.RefusedError
	if errors.As(err, &refusal) {
		s.onRefused(err)
		err = nil
	}
	if err != nil {
		return err
	}
	s.onChange(u.Revision)
	return nil
}

func (s *settingsInForce) applyObjects(u settingsync.Update, objects []settings.Object) error {
	if u.Snapshot {
		return s.holder.ApplySnapshot(u.Revision, objects)
	}
	return s.holder.Apply(u.Revision, objects)
}

// refusals returns one line for each object whose newest state is refused.
func (s *settingsInForce) refusals() []string {
	var lines []string
	for _, r := range s.holder.Refusals() {
		lines = append(lines, r.Key+": "+r.Err.Error())
	}
	return lines
}
