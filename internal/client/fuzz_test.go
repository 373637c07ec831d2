package client

import (
	"strings"
	"testing"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Guards against a change file that crashes the parser, and against accepted
// changes that could not be written.
func FuzzParseChangeFile(f *testing.F) {
	f.Add([]byte(saleFile))
	f.Add([]byte(`{"scopes":[{"scope":"service/a/b","unset":["match",1]},{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := ParseChangeFile("file", data, Attribution{SetBy: "ana", Reason: "r", SetAt: time.Unix(0, 0)})
		if err != nil {
			if resultcode.From(err).Code != resultcode.SettingsInvalid {
				t.Fatalf("error without code: %v", err)
			}
			return
		}
		for _, c := range changes {
			if _, err := settings.Encode(c.Scope, emptyScope().WithChanges("id", []settings.Change{c})); err != nil {
				t.Fatalf("accepted but refused when written: %v", err)
			}
		}
	})
}

// Guards against a command line that ends in an internal error.
func FuzzRun(f *testing.F) {
	f.Add("set default retries=1 -reason x")
	f.Add("apply sale.json -reason x")
	f.Add("explain -service a -method GET -path /")
	f.Add("history service/a/b match")
	f.Add("unset region/ro moves -reason x -if-version 1")
	f.Add("codes 101 -o json")
	f.Fuzz(func(t *testing.T, line string) {
		args := strings.Fields(line)
		if len(args) > 0 && args[0] == "wait" {
			return
		}
		p := newTestApp(platformtest.New(1))
		p.files["sale.json"] = saleFile
		status, _, stderr := p.run(args...)
		if status == 9 || strings.Contains(stderr, "goroutine ") {
			t.Fatalf("%q: %s", line, stderr)
		}
	})
}

// Guards against a status report that crashes the client.
func FuzzStatusReport(f *testing.F) {
	f.Add([]byte(domainReport))
	f.Add([]byte(`{"failure_domain":"ro-a","written":"2026-03-02T09:45:00Z","services":[null],"problems":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		store := platformtest.New(1)
		p := newTestApp(store)
		put(t, store, "status/ro-a", string(data))
		if status, _, stderr := p.run("status"); status != 0 && status != 8 {
			t.Fatalf("status %d: %s", status, stderr)
		}
	})
}
