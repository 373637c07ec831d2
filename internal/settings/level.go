package settings

import "strings"

// Level is a level of the settings tree, or a set of levels. A lower level inherits
// the fields that it does not override.
type Level uint8

// Levels, highest first. A lower level takes precedence, so a service's overrides
// take precedence over a region's.
const (
	LevelDefault Level = 1 << iota
	LevelRegion
	LevelService
	LevelKind
)

// Sets of levels at which a field may be set.
const (
	levelsAny    = LevelDefault | LevelRegion | LevelService | LevelKind
	levelsNoKind = LevelDefault | LevelRegion | LevelService
)

var levelNames = []struct {
	level Level
	name  string
}{{LevelDefault, "default"}, {LevelRegion, "region"}, {LevelService, "service"}, {LevelKind, "kind"}}

// String returns the name of a level, or the names of a set of levels; the set of all
// levels is "any".
func (l Level) String() string {
	if l == levelsAny {
		return "any"
	}
	var names []string
	for _, row := range levelNames {
		if l&row.level != 0 {
			names = append(names, row.name)
		}
	}
	return strings.Join(names, ", ")
}
