package strictjson

import (
	"fmt"
	"strings"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxValueBytes is the maximum length of an invalid value in a problem; longer ones
// are truncated.
const maxValueBytes = 80

// Problem is one invalid value.
type Problem struct {
	// Path locates the value, for example "kinds[0].overrides.timeout".
	Path string `json:"path"`
	// Value is the JSON text of the invalid value or a description of what was
	// found, truncated.
	Value string `json:"value"`
	// Want describes what is accepted.
	Want string `json:"want"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: want %s", p.Path, p.Value, p.Want)
}

// Problems collects the problems of one document, so that all of them are reported
// at once. The zero value is ready to use.
type Problems struct {
	list []Problem
}

// Add records one problem. An empty path stands for the whole document.
func (p *Problems) Add(path, value, want string) {
	if path == "" {
		path = "(document)"
	}
	p.list = append(p.list, Problem{Path: path, Value: truncate(value), Want: want})
}

// AddOnce is Add for checks that run after parsing. It records nothing when a
// problem of the same value, or of a value that encloses it, is already recorded.
func (p *Problems) AddOnce(path, value, want string) {
	for _, earlier := range p.list {
		rest, within := strings.CutPrefix(path, earlier.Path)
		if within && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return
		}
	}
	p.Add(path, value, want)
}

// List returns the problems in the order in which they were recorded.
func (p *Problems) List() []Problem {
	return append([]Problem(nil), p.list...)
}

// Err returns a SettingsInvalid error that names the document and lists each problem
// on its own line, or nil when there are no problems.
func (p *Problems) Err(document string) error {
	if len(p.list) == 0 {
		return nil
	}
	lines := make([]string, 0, len(p.list))
	for _, problem := range p.list {
		lines = append(lines, problem.String())
	}
	if len(lines) == 1 {
		return resultcode.New(resultcode.SettingsInvalid, "%s: %s", document, lines[0])
	}
	text := strings.Join(lines, "\n  ")
	return resultcode.New(resultcode.SettingsInvalid, "%s: %d problems\n  %s", document, len(lines), text)
}

func truncate(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}
