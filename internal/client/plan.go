package client

import (
	"context"
	"fmt"
	"strings"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// plan is the effect that a list of changes would have on the tree as it was read.
type plan struct {
	steps []step
	// unchanged counts the changes without effect: the stored object has the value
	// already or, for an unset, no override.
	unchanged int
}

// step holds the changes to one object. For an invalid object that is to be replaced,
// the scope of object is empty.
type step struct {
	object  storedScope
	changes []settings.Change
}

// plan reads the tree, leaves out changes without effect, and checks every
// object that would be written, so that nothing is written when one of them is
// refused.
func (c *Client) plan(ctx context.Context, changes []settings.Change, replaceInvalid bool) (plan, error) {
	t, err := c.readTree(ctx)
	if err != nil {
		return plan{}, err
	}
	var p plan
	stepIndex := make(map[settings.ScopeName]int)
	for _, change := range changes {
		object, err := t.object(change.Scope)
		if err != nil && !replaceInvalid {
			return plan{}, err
		}
		if err == nil && !change.HasEffect(object.scope) {
			p.unchanged++
			continue
		}
		i, ok := stepIndex[object.name]
		if !ok {
			i = len(p.steps)
			stepIndex[object.name] = i
			p.steps = append(p.steps, step{object: object})
		}
		p.steps[i].changes = append(p.steps[i].changes, change)
	}
	return p, p.check()
}

// check returns the error of the first object that would be refused after the changes.
func (p plan) check() error {
	for _, s := range p.steps {
		if _, err := settings.Encode(s.object.name, s.object.scope.WithChanges("check", s.changes)); err != nil {
			return err
		}
	}
	return nil
}

// execute writes the steps in order and stops at the first failure. The error says what
// was written and what was not; applying the same changes again writes the rest.
func (c *Client) execute(ctx context.Context, p plan) ([]Written, error) {
	var done []Written
	for i, s := range p.steps {
		written, err := c.edit(ctx, s.object, s.changes, false)
		if err != nil {
			return done, newPartialError(done, p.steps[i:], err)
		}
		done = append(done, written)
	}
	return done, nil
}

// PartialError is the failure to write one object among several.
type PartialError struct {
	// Written lists the objects that were written, NotWritten the names of the
	// others, the failed one first.
	Written    []Written `json:"written"`
	NotWritten []string  `json:"not_written"`
	cause      error
}

func newPartialError(done []Written, remaining []step, cause error) error {
	if len(done) == 0 && len(remaining) == 1 {
		return cause
	}
	partial := &PartialError{Written: done, cause: cause}
	for _, s := range remaining {
		partial.NotWritten = append(partial.NotWritten, s.object.name.String())
	}
	return partial
}

// Error implements error.
func (e *PartialError) Error() string {
	return e.resultError().Error()
}

// Unwrap returns the error of the failed object.
func (e *PartialError) Unwrap() error {
	return e.cause
}

// resultError returns the error with the result code of the failed object's error.
func (e *PartialError) resultError() *resultcode.Error {
	cause := resultcode.From(e.cause)
	written := "nothing"
	var names []string
	for _, w := range e.Written {
		names = append(names, fmt.Sprintf("%s at revision %d", w.Scope, w.Revision))
	}
	if len(names) > 0 {
		written = strings.Join(names, ", ")
	}
	return resultcode.New(cause.Code, "%s\n  written: %s\n  not written: %s; run the command again to complete them",
		errorText(cause), written, strings.Join(e.NotWritten, ", "))
}

// errorText returns the error's detail with its cause, without the code.
func errorText(e *resultcode.Error) string {
	if e.Cause == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Cause.Error()
}
