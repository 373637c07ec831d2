package client

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table writes aligned columns without trailing spaces.
type table struct {
	out     io.Writer
	text    *strings.Builder
	columns *tabwriter.Writer
}

func newTable(w io.Writer) *table {
	var text strings.Builder
	return &table{out: w, text: &text, columns: tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)}
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.columns, strings.Join(cells, "\t"))
}

func (t *table) flush() {
	_ = t.columns.Flush()
	for line := range strings.Lines(t.text.String()) {
		fmt.Fprintln(t.out, strings.TrimRight(line, " \n"))
	}
}

func writeJSON(w io.Writer, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		panic(err)
	}
}
