package client

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", name))
	assert.NilError(t, err)
	return string(data)
}

// tableRows returns the rows of the tables in a page that start with the given
// text.
func tableRows(text, start string) []string {
	var rows []string
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, start) {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	return rows
}

// Guards against a page of result codes that differs from the codes that callers
// and operators receive.
func TestResultCodePage(t *testing.T) {
	var want []string
	for _, e := range resultcode.Entries() {
		retry := "no"
		if e.MayRetry {
			retry = "yes"
		}
		want = append(want, fmt.Sprintf("| %d | `%s` | %d | %s | %s | %d | %s |",
			uint16(e.Code), e.Name, e.HTTPStatus, e.Execution, retry, e.ExitStatus, e.Meaning))
	}
	var got []string
	for _, row := range tableRows(readPage(t, "docs/result-codes.md"), "| ") {
		if len(row) > 2 && row[2] >= '0' && row[2] <= '9' {
			got = append(got, row)
		}
	}
	assert.Equal(t, strings.Join(got, "\n"), strings.Join(want, "\n"))
}

// Guards against a page of settings that differs from the fields that the programs
// accept.
func TestSettingsPage(t *testing.T) {
	var want []string
	for _, f := range settings.Fields() {
		unit := f.Unit
		if unit == "" {
			unit = "-"
		}
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s | %s | `%s` | %s |",
			f.Name, unit, settings.FormatText(f.Default()), f.Range, f.Levels, f.Example, f.Meaning))
	}
	got := tableRows(readPage(t, "docs/settings.md"), "| `")
	assert.Equal(t, strings.Join(got, "\n"), strings.Join(want, "\n"))
}

// Guards against commands in the documents that the client does not accept.
func TestCommandsInDocuments(t *testing.T) {
	count := 0
	for _, name := range []string{"README.md", "docs/settings.md", "docs/OPERATIONS.md", "docs/result-codes.md", "docs/glossary.md"} {
		for line := range strings.Lines(readPage(t, name)) {
			line = strings.TrimSpace(line)
			if !strings.HasPrefix(line, "mustardwing ") {
				continue
			}
			count++
			words := shellWords(line)
			cmd, ok := findCommand(words[1])
			assert.Assert(t, ok, "%s: %s", name, line)
			p := newTestApp(platformtest.New(1))
			inv, err := p.parse(cmd, words[2:])
			assert.NilError(t, err, "%s: %s", name, line)
			if cmd.name == "set" || cmd.name == "unset" {
				checkEditCommand(t, inv, line)
			}
		}
	}
	assert.Assert(t, count > 20, "%d commands", count)
}

func checkEditCommand(t *testing.T, inv *invocation, line string) {
	t.Helper()
	name, err := inv.scopeArg()
	assert.NilError(t, err, line)
	assert.Assert(t, inv.options.reason != "", line)
	for _, arg := range inv.args[1:] {
		field, text, _ := strings.Cut(arg, "=")
		f, ok := settings.LookupField(field)
		assert.Assert(t, ok, line)
		change := settings.Change{Scope: name, Field: field, SetBy: "ana", Reason: "r"}
		if text != "" {
			change.Value = f.FromText(text)
		}
		assert.NilError(t, change.Check(), line)
	}
}

// Guards against a change file in the documents that apply refuses.
func TestChangeFileInDocuments(t *testing.T) {
	text := readPage(t, "docs/settings.md")
	start := strings.Index(text, "    {\"reason\"")
	assert.Assert(t, start > 0)
	end := start + strings.Index(text[start:], "\n\n")
	changes, err := ParseChangeFile("docs", []byte(text[start:end]), Attribution{SetBy: "ana"})
	assert.NilError(t, err)
	assert.Assert(t, len(changes) > 3)
}
