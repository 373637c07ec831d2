package strictjson

import (
	"fmt"
	"strings"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxShownValue bounds how much of a refused value an error repeats, in bytes.
const maxShownValue = 80

// Problem is one refused value.
type Problem struct {
	// Path names the object, for example "kinds[0].overrides.timeout".
	Path string `json:"path"`
	// Value is the refused text, shortened.
	Value string `json:"value"`
	// Want says what would be accepted.
	Want string `json:"want"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: want %s", p.Path, p.Value, p.Want)
}

// Problems collects everything that is wrong with one document, so that all of
// it is reported at once. The zero value is ready to use.
type Problems struct {
	list []Problem
}

// Add records one refused value.
func (p *Problems) Add(path, value, want string) {
	if path == "" {
		path = "(document)"
	}
	p.list = append(p.list, Problem{Path: path, Value: shorten(value), Want: want})
}

// AddOnce is Add for a later check of the values: it leaves out what an earlier
// problem with the same value, or with an object around it, already covers.
func (p *Problems) AddOnce(path, value, want string) {
	for _, earlier := range p.list {
		rest, within := strings.CutPrefix(path, earlier.Path)
		if within && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return
		}
	}
	p.Add(path, value, want)
}

// List returns the problems in the order of the document.
func (p *Problems) List() []Problem {
	return append([]Problem(nil), p.list...)
}

// Err returns nil without problems, otherwise a SettingsInvalid error that names
// the document and lists every problem on its own line.
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

func shorten(value string) string {
	if len(value) <= maxShownValue {
		return value
	}
	return strings.ToValidUTF8(value[:maxShownValue], "") + "..."
}
