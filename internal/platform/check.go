package platform

import (
	"net/url"
	"strings"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// objectPath returns the path of an object relative to /v1/. It returns an error for
// segments that a server would remove when it normalises the path, since the path
// would then name another object.
func objectPath(key string) (string, error) {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		if s == "" || s == "." || s == ".." {
			return "", resultcode.New(resultcode.SettingsInvalid,
				"object key %q: segment %q; accepted are non-empty names other than . and ..", key, s)
		}
		segments[i] = url.PathEscape(s)
	}
	return "objects/" + strings.Join(segments, "/"), nil
}

// checkObject returns an error with code PlatformMalformed unless o has the given key
// and a version above zero.
func checkObject(o Object, key string) error {
	if o.Key != key {
		return malformed("requested object %q, received %q", key, o.Key)
	}
	if o.Version <= 0 {
		return malformed("object %q has version %d", key, o.Version)
	}
	return nil
}

// checkListing returns an error with code PlatformMalformed unless the keys in l have
// the prefix and increase, and all versions are above zero and at most that of l.
func checkListing(l Listing, prefix string) error {
	previous := ""
	for _, o := range l.Objects {
		if !strings.HasPrefix(o.Key, prefix) || o.Key <= previous {
			return malformed("listing of %q contains %q after %q", prefix, o.Key, previous)
		}
		if o.Version <= 0 || o.Version > l.Version {
			return malformed("listing at version %d contains %q at version %d", l.Version, o.Key, o.Version)
		}
		previous = o.Key
	}
	return nil
}

// checkEvents returns an error with code PlatformMalformed unless the keys in e have the
// prefix and the versions increase, are higher than after and are at most that of e.
func checkEvents(e Events, prefix string, after int64) error {
	previous := after
	for _, o := range e.Events {
		if !strings.HasPrefix(o.Key, prefix) {
			return malformed("watch of %q contains %q", prefix, o.Key)
		}
		if o.Version <= previous || o.Version > e.Version {
			return malformed("watch at version %d contains version %d after %d", e.Version, o.Version, previous)
		}
		previous = o.Version
	}
	return nil
}
