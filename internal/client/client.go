// Package client is the logic of the command-line client: it reads and edits
// the settings tree in the platform's store and shows what the nodes report.
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
	// Now is the operator's clock; it dates decisions and ages reports.
	Now func() time.Time
	// NewWriteID returns an id that no other write has.
	NewWriteID func() string
}

// NewWriteID returns a random id for one write.
func NewWriteID() string {
	return uuid.NewString()
}

// stored is a scope object as read from the store.
type stored struct {
	name settings.ScopeName
	// version is zero when there is no object.
	version int64
	scope   *settings.Scope
}

// read returns a scope's object, an empty one when there is none.
func (c *Client) read(ctx context.Context, name settings.ScopeName) (stored, error) {
	object, err := c.Store.Get(ctx, name.Key())
	if err != nil && resultcode.From(err).Code != resultcode.ScopeNotFound {
		return stored{}, err
	}
	return decodeStored(name, object)
}

// list reads the objects under a prefix. An answer without a list of objects is
// not taken for an empty store.
func (c *Client) list(ctx context.Context, prefix string) (platform.Listing, error) {
	listing, err := c.Store.List(ctx, prefix)
	if err == nil && listing.Objects == nil {
		return listing, resultcode.New(resultcode.PlatformMalformed, "listing of %q: want a list of objects", prefix)
	}
	return listing, err
}

func decodeStored(name settings.ScopeName, object platform.Object) (stored, error) {
	scope, err := settings.Decode(name, object.Value)
	if err != nil {
		coded := resultcode.From(err)
		return stored{}, resultcode.New(coded.Code, "stored at version %d, to be repaired with apply -replace-invalid: %s", object.Version, coded.Detail)
	}
	return stored{name: name.Object(), version: object.Version, scope: scope}, nil
}

// tree is the whole settings tree as read from the store.
type tree struct {
	// revision is the highest version of an object.
	revision int64
	objects  map[settings.ScopeName]stored
	// invalid holds the objects that nodes refuse.
	invalid []invalidObject
}

type invalidObject struct {
	name    settings.ScopeName
	version int64
	err     *resultcode.Error
}

func (c *Client) readTree(ctx context.Context) (tree, error) {
	listing, err := c.list(ctx, settings.KeyPrefix)
	if err != nil {
		return tree{}, err
	}
	t := tree{objects: make(map[settings.ScopeName]stored)}
	for _, object := range listing.Objects {
		t.revision = max(t.revision, object.Version)
		name, err := settings.ParseKey(object.Key)
		var entry stored
		if err == nil {
			entry, err = decodeStored(name, object)
		}
		if err != nil {
			t.invalid = append(t.invalid, invalidObject{name, object.Version, resultcode.From(err)})
			continue
		}
		t.objects[name] = entry
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

// object returns a scope's object, an empty one when there is none, and the
// error of one that cannot be read.
func (t tree) object(name settings.ScopeName) (stored, error) {
	name = name.Object()
	if object, ok := t.objects[name]; ok {
		return object, nil
	}
	for _, object := range t.invalid {
		if object.name == name {
			return stored{name: name, version: object.version, scope: emptyScope()}, object.err
		}
	}
	return stored{name: name, scope: emptyScope()}, nil
}

func emptyScope() *settings.Scope {
	return &settings.Scope{Overrides: settings.Overrides{}}
}
