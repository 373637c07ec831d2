package settings

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// KeyPrefix is the prefix of the keys of all settings objects in the platform's
// store.
const KeyPrefix = "settings/"

const (
	maxNameBytes = 63
	wantName     = "1 to 63 characters of a-z, 0-9 and -, starting with a letter"
	wantScope    = "default, region/REGION, service/SERVICE or service/SERVICE/KIND"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// ScopeName identifies a scope: the default, a region, a service or a kind. A kind
// has no object of its own; it is part of its service's object.
type ScopeName struct {
	Level Level
	// Name is the name of the region or service, empty for the default scope.
	Name string
	// Kind is set only at LevelKind.
	Kind string
}

// String returns the form used on the command line and in change files, for example
// "service/search/upload". An object's key is KeyPrefix followed by this form of the
// object's scope.
func (n ScopeName) String() string {
	switch n.Level {
	case LevelRegion:
		return "region/" + n.Name
	case LevelService:
		return "service/" + n.Name
	case LevelKind:
		return "service/" + n.Name + "/" + n.Kind
	default:
		return "default"
	}
}

// Key returns the store key of the object that holds the scope.
func (n ScopeName) Key() string {
	return KeyPrefix + n.ObjectScope().String()
}

// ObjectScope returns the scope whose object holds n: the service for a kind,
// otherwise n itself.
func (n ScopeName) ObjectScope() ScopeName {
	if n.Level == LevelKind {
		return ScopeName{Level: LevelService, Name: n.Name}
	}
	return n
}

// ParseScopeName parses the form that String returns. Any other text is a
// SettingsInvalid error.
func ParseScopeName(text string) (ScopeName, error) {
	name, ok := splitScope(text)
	if !ok {
		return ScopeName{}, resultcode.New(resultcode.SettingsInvalid, "scope %q: want %s", text, wantScope)
	}
	for _, part := range []string{name.Name, name.Kind} {
		if part != "" && !namePattern.MatchString(part) {
			return ScopeName{}, resultcode.New(resultcode.SettingsInvalid, "scope %q: name %q: want %s", text, part, wantName)
		}
	}
	return name, nil
}

// ParseKey parses the store key of a settings object. Any other key is a
// SettingsInvalid error, also the form "settings/service/SERVICE/KIND", since a kind
// has no object.
func ParseKey(key string) (ScopeName, error) {
	text, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return ScopeName{}, resultcode.New(resultcode.SettingsInvalid, "object %q: want a key below %s", key, KeyPrefix)
	}
	name, err := ParseScopeName(text)
	if err != nil {
		return ScopeName{}, err
	}
	if name.Level == LevelKind {
		return ScopeName{}, resultcode.New(resultcode.SettingsInvalid, "object %q: want default, region/REGION or service/SERVICE below %s", key, KeyPrefix)
	}
	return name, nil
}

func splitScope(text string) (ScopeName, bool) {
	parts := strings.Split(text, "/")
	for _, part := range parts {
		if part == "" {
			return ScopeName{}, false
		}
	}
	switch form := fmt.Sprintf("%s %d", parts[0], len(parts)); form {
	case "default 1":
		return ScopeName{Level: LevelDefault}, true
	case "region 2":
		return ScopeName{Level: LevelRegion, Name: parts[1]}, true
	case "service 2":
		return ScopeName{Level: LevelService, Name: parts[1]}, true
	case "service 3":
		return ScopeName{Level: LevelKind, Name: parts[1], Kind: parts[2]}, true
	}
	return ScopeName{}, false
}
