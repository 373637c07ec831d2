package client

import (
	"context"
	"fmt"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

const (
	// maxWriteAttempts bounds the attempts at one object, racing edits and
	// answers that got lost together.
	maxWriteAttempts = 8
	// writePause is the first pause after an attempt without a clear answer; it
	// doubles each time up to maxWritePause.
	writePause    = 100 * time.Millisecond
	maxWritePause = time.Second
)

// Written is the effect of an edit on one object.
type Written struct {
	Scope string `json:"scope"`
	// Revision brings the edit into force. After a lost answer it may be that of
	// a later write, which contains the edit.
	Revision int64 `json:"revision"`
	// Merged tells that other fields were changed by somebody else meanwhile.
	Merged bool `json:"merged,omitempty"`
	// Recovered tells that an answer was lost and the write was recognised by its
	// write id.
	Recovered bool           `json:"recovered,omitempty"`
	Changes   []ChangeResult `json:"changes"`
}

// fate is what is known about one attempt at a write.
type fate uint8

const (
	// unresolved means that the write may still take effect.
	unresolved fate = iota
	applied
	// overtaken means that the object has moved on, so that this write can take
	// no effect any more.
	overtaken
	// refused means that the write had no effect and will have none.
	refused
)

// edit writes the changes, all of one object, starting from the state that the
// operator saw. When somebody else changed other fields meanwhile, it starts
// again from the present state; when an edited field itself was changed it fails
// with SettingsConflict. Exact fails also when any other field was changed.
func (c *Client) edit(ctx context.Context, seen stored, changes []settings.Change, exact bool) (Written, error) {
	writeID := c.NewWriteID()
	present := seen
	result := Written{Scope: seen.name.String(), Changes: changeResults(seen.scope, changes)}
	var uncertain error
	for attempt := range maxWriteAttempts {
		if exact && present.version != seen.version {
			return Written{}, movedVersion(present, seen.version, changes)
		}
		if err := checkUnchanged(seen, present, changes); err != nil {
			return Written{}, err
		}
		value, err := settings.Encode(seen.name, present.scope.WithChanges(writeID, changes))
		if err != nil {
			return Written{}, err
		}
		outcome, object, err := c.attempt(ctx, present, value, writeID)
		switch outcome {
		case applied:
			result.Revision = object.version
			result.Recovered = err != nil || uncertain != nil
			return result, nil
		case overtaken:
			// Nothing sent so far can take effect any more.
			present, uncertain, result.Merged = object, nil, true
			continue
		case refused:
			if uncertain == nil && resultcode.From(err).Code != resultcode.PlatformRateLimited {
				return Written{}, err
			}
		default:
			uncertain = err
		}
		if pause(ctx, min(writePause<<attempt, maxWritePause)) != nil {
			return Written{}, giveUp(seen.name, writeID, uncertain, err)
		}
		if attempt == maxWriteAttempts-1 {
			return Written{}, giveUp(seen.name, writeID, uncertain, err)
		}
	}
	return Written{}, resultcode.New(resultcode.SettingsConflict,
		"%s: others wrote %d times in a row meanwhile; nothing was written, run the command again", seen.name, maxWriteAttempts)
}

// attempt sends the write once. The error is that of the store; it comes with
// applied when the answer was lost and the effect was recognised.
func (c *Client) attempt(ctx context.Context, present stored, value []byte, writeID string) (fate, stored, error) {
	object, err := c.Store.Update(ctx, present.name.Key(), present.version, value)
	if err == nil {
		return applied, stored{name: present.name, version: object.Version}, nil
	}
	coded := resultcode.From(err)
	if coded.Code != resultcode.SettingsConflict && (coded.Execution == resultcode.NotRun || !mayHaveEffect(coded.Code)) {
		return refused, stored{}, err
	}
	now, readErr := c.read(ctx, present.name)
	if readErr != nil {
		return unreadable(present, readErr, err)
	}
	switch {
	case now.scope.HasWriteID(writeID):
		return applied, now, err
	case now.version == present.version:
		return unresolved, stored{}, err
	}
	return overtaken, now, err
}

func mayHaveEffect(code resultcode.Code) bool {
	return code == resultcode.PlatformUnavailable || code == resultcode.PlatformMalformed
}

// unreadable settles an attempt after which the object could not be read: an
// object that somebody replaced by an invalid one is refused, anything else
// leaves the attempt unresolved.
func unreadable(present stored, readErr, err error) (fate, stored, error) {
	if resultcode.From(readErr).Code == resultcode.SettingsInvalid {
		return refused, stored{}, resultcode.New(resultcode.SettingsInvalid,
			"%s was replaced meanwhile; nothing was written: %s", present.name, resultcode.From(readErr).Detail)
	}
	return unresolved, stored{}, err
}

// giveUp says whether the write may still take effect.
func giveUp(name settings.ScopeName, writeID string, uncertain, last error) error {
	if uncertain == nil {
		return last
	}
	coded := resultcode.From(uncertain)
	return resultcode.Wrap(uncertain, coded.Code,
		"%s: no clear answer to the write; it may have taken effect or may still do so; see it with: mustardwing history %s (write id %s)",
		name, name, writeID)
}

// checkUnchanged fails when one of the edited fields is not what the operator
// saw.
func checkUnchanged(seen, present stored, changes []settings.Change) error {
	if seen.version == present.version {
		return nil
	}
	conflict := &Conflict{Scope: seen.name.String(), Version: present.version, SeenVersion: seen.version}
	for _, change := range changes {
		before, wasGiven := seen.scope.OverridesFor(change.Scope.Kind)[change.Field]
		now, isGiven := present.scope.OverridesFor(change.Scope.Kind)[change.Field]
		if wasGiven != isGiven || (isGiven && !before.Same(now)) {
			conflict.add(change, present.scope)
		}
	}
	if len(conflict.Fields) == 0 {
		return nil
	}
	return conflict
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ChangeResult tells what an edit made of one field.
type ChangeResult struct {
	Scope string `json:"scope"`
	Field string `json:"field"`
	// Was and Now are empty where the field was or is inherited.
	Was string `json:"was,omitempty"`
	Now string `json:"now,omitempty"`
}

// String returns the change in one line.
func (r ChangeResult) String() string {
	return fmt.Sprintf("%s: %s %s -> %s", r.Scope, r.Field, orInherited(r.Was), orInherited(r.Now))
}

func changeResults(scope *settings.Scope, changes []settings.Change) []ChangeResult {
	results := make([]ChangeResult, 0, len(changes))
	for _, change := range changes {
		result := ChangeResult{Scope: change.Scope.String(), Field: change.Field}
		if before, ok := scope.OverridesFor(change.Scope.Kind)[change.Field]; ok {
			result.Was = settings.FormatText(before.Value)
		}
		if change.Value != nil {
			result.Now = settings.FormatText(change.Value)
		}
		results = append(results, result)
	}
	return results
}

func orInherited(text string) string {
	if text == "" {
		return "(inherited)"
	}
	return text
}
