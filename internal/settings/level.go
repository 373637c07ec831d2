package settings

import "strings"

// Level is a height in the settings tree. A lower level inherits what it does
// not change.
type Level uint8

// Levels from the top down. A service's overrides win over a region's.
const (
	LevelDefault Level = 1 << iota
	LevelRegion
	LevelService
	LevelKind
)

// Sets of levels that a field may be given at.
const (
	levelsAny    = LevelDefault | LevelRegion | LevelService | LevelKind
	levelsNoKind = LevelDefault | LevelRegion | LevelService
)

var levelNames = []struct {
	level Level
	name  string
}{{LevelDefault, "default"}, {LevelRegion, "region"}, {LevelService, "service"}, {LevelKind, "kind"}}

// String returns the name of a level, or the names of a set of levels.
func (l Level) String() string {
	if l == levelsAny {
		return "any"
	}
	var names []string
	for _, entry := range levelNames {
		if l&entry.level != 0 {
			names = append(names, entry.name)
		}
	}
	return strings.Join(names, ", ")
}
