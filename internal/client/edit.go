package client

import (
	"context"
	"fmt"
	"time"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

const (
	// maxWriteAttempts bounds the attempts to write one object. Attempts that lost
	// a race with another edit and those with a lost response count together.
	maxWriteAttempts = 8
	// minWriteBackoff is the delay after a first attempt that was rate-limited or has
	// no clear response; the delay doubles with each attempt up to maxWriteBackoff.
	// There is no delay after an attempt that lost a race with another edit.
	minWriteBackoff = 100 * time.Millisecond
	maxWriteBackoff = time.Second
)

// Written is the effect of an edit on one object.
type Written struct {
	Scope string `json:"scope"`
	// Revision is the object's revision that contains the edit. After a lost response
	// it may be the revision of a later write, which contains the edit too.
	Revision int64 `json:"revision"`
	// Merged reports that another operator changed other fields in the meantime.
	Merged bool `json:"merged,omitempty"`
	// Recovered reports that the response to an attempt was lost and that the write took
	// effect nevertheless: the object contains its write id, or a later attempt succeeded.
	Recovered bool `json:"recovered,omitempty"`
	// StoreReturned reports that the store has returned from an older copy between the read
	// and the write. The write may have replaced another operator's edit.
	StoreReturned bool           `json:"store_returned,omitempty"`
	Changes       []ChangeResult `json:"changes"`
}

// writeOutcome is the known outcome of one attempt to write an object.
type writeOutcome uint8

const (
	// writeUnresolved means that the write may still take effect.
	writeUnresolved writeOutcome = iota
	// writeApplied means that the object contains the write.
	writeApplied
	// writeSuperseded means that the object has a newer version, so that this write
	// can no longer take effect.
	writeSuperseded
	// writeRefused means that the write had no effect and will have none.
	writeRefused
)

// edit writes the changes, all of one object, starting from seen, the object as the
// command read it first. When another operator changed other fields in the meantime, it
// starts again from the current object; when an edited field itself was changed, it
// fails with SettingsConflict. When exact is true, it also fails with SettingsConflict
// on any other change of the object.
func (c *Client) edit(ctx context.Context, seen storedScope, changes []settings.Change, exact bool) (Written, error) {
	writeID := c.NewWriteID()
	current := seen
	result := Written{Scope: seen.name.String(), Changes: changeResults(seen.scope, changes)}
	// uncertainErr is the error of the latest attempt that may still take effect.
	var uncertainErr error
	for attempt := range maxWriteAttempts {
		if exact && !current.sameVersion(seen) {
			return Written{}, versionConflict(current, seen.version, changes)
		}
		if err := checkUnchanged(seen, current, changes); err != nil {
			return Written{}, err
		}
		value, err := settings.Encode(seen.name, current.scope.WithChanges(writeID, changes))
		if err != nil {
			return Written{}, err
		}
		outcome, object, err := c.attemptWrite(ctx, current, value, writeID)
		switch outcome {
		case writeApplied:
			result.Revision = object.version
			result.Recovered = err != nil || uncertainErr != nil
			result.StoreReturned = object.era != current.era
			return result, nil
		case writeSuperseded:
			// No write sent so far can take effect any more.
			current, uncertainErr, result.Merged = object, nil, true
			continue
		case writeRefused:
			if uncertainErr == nil && resultcode.From(err).Code != resultcode.PlatformRateLimited {
				return Written{}, err
			}
		default:
			uncertainErr = err
		}
		if sleep(ctx, min(minWriteBackoff<<attempt, maxWriteBackoff)) != nil {
			return Written{}, abandonedWriteError(seen.name, writeID, uncertainErr, err)
		}
		if attempt == maxWriteAttempts-1 {
			return Written{}, abandonedWriteError(seen.name, writeID, uncertainErr, err)
		}
	}
	return Written{}, resultcode.New(resultcode.SettingsConflict,
		"%s: other writes came first %d times in a row; nothing was written, run the command again", seen.name, maxWriteAttempts)
}

// attemptWrite sends the write once and returns its outcome, the object as it is then
// for writeApplied and writeSuperseded, and the error of the store. The object has no
// scope when the store confirmed the write. The error is also set with writeApplied when
// the response was lost and the write was recognised.
func (c *Client) attemptWrite(ctx context.Context, current storedScope, value []byte, writeID string) (writeOutcome, storedScope, error) {
	object, err := c.Store.Update(ctx, current.name.Key(), current.version, value)
	if err == nil {
		return writeApplied, storedScope{name: current.name, version: object.Version, era: c.era()}, nil
	}
	coded := resultcode.From(err)
	if coded.Code != resultcode.SettingsConflict && (coded.Execution == resultcode.NotRun || !mayHaveTakenEffect(coded.Code)) {
		return writeRefused, storedScope{}, err
	}
	stored, readErr := c.read(ctx, current.name)
	if readErr != nil {
		return outcomeAfterFailedRead(current, readErr, err)
	}
	switch {
	case stored.scope.HasWriteID(writeID):
		return writeApplied, stored, err
	case stored.sameVersion(current):
		return writeUnresolved, storedScope{}, err
	}
	return writeSuperseded, stored, err
}

func mayHaveTakenEffect(code resultcode.Code) bool {
	return code == resultcode.PlatformUnavailable || code == resultcode.PlatformMalformed
}

// outcomeAfterFailedRead returns the outcome of an attempt after which the object
// could not be read: writeRefused if another write replaced the object by an
// invalid one, and otherwise writeUnresolved.
func outcomeAfterFailedRead(current storedScope, readErr, err error) (writeOutcome, storedScope, error) {
	if resultcode.From(readErr).Code == resultcode.SettingsInvalid {
		return writeRefused, storedScope{}, resultcode.New(resultcode.SettingsInvalid,
			"%s was replaced by an invalid object in the meantime; nothing was written: %s", current.name, resultcode.From(readErr).Detail)
	}
	return writeUnresolved, storedScope{}, err
}

// abandonedWriteError returns the error of a write that is not attempted again. It
// says whether the write may still take effect.
func abandonedWriteError(name settings.ScopeName, writeID string, uncertainErr, lastErr error) error {
	if uncertainErr == nil {
		return lastErr
	}
	coded := resultcode.From(uncertainErr)
	return resultcode.Wrap(uncertainErr, coded.Code,
		"%s: no clear response to the write; it may have taken effect or may still do so; check with: mustardwing history %s (write id %s)",
		name, name, writeID)
}

// checkUnchanged returns a ConflictError with the edited fields that another operator
// changed between the objects seen and current, or nil when there are none.
func checkUnchanged(seen, current storedScope, changes []settings.Change) error {
	if seen.sameVersion(current) {
		return nil
	}
	conflict := &ConflictError{Scope: seen.name.String(), Version: current.version, SeenVersion: seen.version}
	for _, change := range changes {
		before, wasSet := seen.scope.OverridesFor(change.Scope.Kind)[change.Field]
		now, isSet := current.scope.OverridesFor(change.Scope.Kind)[change.Field]
		if wasSet != isSet || (isSet && !before.Same(now)) {
			conflict.addField(change, current.scope)
		}
	}
	if len(conflict.Fields) == 0 {
		return nil
	}
	return conflict
}

// sleep waits for d, or returns the context's error when that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ChangeResult is the effect of an edit on one field.
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
