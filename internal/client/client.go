// Package client implements the command-line client: it reads and edits the
// settings tree in the platform's store and shows the status reports of the
// nodes.
package client

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Client reads and edits the settings tree.
type Client struct {
	Store platform.Store
	// Now is the operator's clock, which gives the time of decisions and the age
	// of reports.
	Now func() time.Time
	// NewWriteID returns a unique id for one write.
	NewWriteID func() string
}

// NewWriteID returns a random id for one write.
func NewWriteID() string {
	return uuid.NewString()
}

// storedScope is the object of one scope as read from the store.
type storedScope struct {
	name settings.ScopeName
	// version is zero when the store has no object. Versions of different eras cannot be
	// compared.
	version int64
	era     uint64
	scope   *settings.Scope
}

// sameVersion reports whether both are the same version of the object.
func (s storedScope) sameVersion(other storedScope) bool {
	return s.version == other.version && s.era == other.era
}

// era returns the highest era that the store has stated so far, zero if it states none.
func (c *Client) era() uint64 {
	if s, ok := c.Store.(platform.EraStore); ok {
		return s.Era()
	}
	return 0
}

// read returns the object of a scope, or an empty one when the store has none. An
// object that cannot be decoded is an error.
func (c *Client) read(ctx context.Context, name settings.ScopeName) (storedScope, error) {
	object, err := c.Store.Get(ctx, name.Key())
	if err != nil && resultcode.From(err).Code != resultcode.ScopeNotFound {
		return storedScope{}, err
	}
	stored, err := decodeScope(name, object)
	stored.era = c.era()
	return stored, err
}

// list reads the objects under a prefix. A response without a list of objects is
// an error and does not count as an empty store.
func (c *Client) list(ctx context.Context, prefix string) (platform.Listing, error) {
	listing, err := c.Store.List(ctx, prefix)
	if err == nil && listing.Objects == nil {
		return listing, resultcode.New(resultcode.PlatformMalformed, "listing of %q: want a list of objects", prefix)
	}
	return listing, err
}

func decodeScope(name settings.ScopeName, object platform.Object) (storedScope, error) {
	scope, err := settings.Decode(name, object.Value)
	if err != nil {
		coded := resultcode.From(err)
		return storedScope{}, resultcode.New(coded.Code, "version %d in the store is invalid, repair it with mustardwing apply -replace-invalid: %s", object.Version, coded.Detail)
	}
	return storedScope{name: name.ObjectScope(), version: object.Version, scope: scope}, nil
}

// tree is the whole settings tree as read from the store.
type tree struct {
	// revision is the highest version of any object.
	revision int64
	era      uint64
	// objects holds the valid objects by the scope of the object.
	objects map[settings.ScopeName]storedScope
	// invalid holds the objects that nodes refuse.
	invalid []invalidObject
}

type invalidObject struct {
	// name is empty when the key names no scope.
	name    settings.ScopeName
	version int64
	err     *resultcode.Error
}

func (c *Client) readTree(ctx context.Context) (tree, error) {
	listing, err := c.list(ctx, settings.KeyPrefix)
	if err != nil {
		return tree{}, err
	}
	t := tree{era: c.era(), objects: make(map[settings.ScopeName]storedScope)}
	for _, object := range listing.Objects {
		t.revision = max(t.revision, object.Version)
		name, err := settings.ParseKey(object.Key)
		var stored storedScope
		if err == nil {
			stored, err = decodeScope(name, object)
		}
		if err != nil {
			t.invalid = append(t.invalid, invalidObject{name, object.Version, resultcode.From(err)})
			continue
		}
		stored.era = t.era
		t.objects[name] = stored
	}
	return t, nil
}

func (t tree) scopes() settings.Scopes {
	scopes := make(settings.Scopes, len(t.objects))
	for name, object := range t.objects {
		scopes[name] = object.scope
	}
	return scopes
}

// object returns the object of a scope, or an empty one when there is none. For an
// object that cannot be decoded it returns an empty one with the stored version, and the
// error.
func (t tree) object(name settings.ScopeName) (storedScope, error) {
	name = name.ObjectScope()
	if object, ok := t.objects[name]; ok {
		return object, nil
	}
	for _, object := range t.invalid {
		if object.name == name {
			return storedScope{name: name, version: object.version, era: t.era, scope: emptyScope()}, object.err
		}
	}
	return storedScope{name: name, era: t.era, scope: emptyScope()}, nil
}

func emptyScope() *settings.Scope {
	return &settings.Scope{Overrides: settings.Overrides{}}
}
