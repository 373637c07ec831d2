package client

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// Guards against a status that shows a fleet as empty when its nodes write directory
// entries and no reports, against one that counts removed nodes or those of other
// services, and against an error that does not name an entry that cannot be decoded.
func TestStatusShowsNodeEntries(t *testing.T) {
	store := platformtest.New(1)
	p := newTestApp(store)
	for node, entry := range map[string]string{
		"10.0.0.1": `"failure_domain":"ro-a","upstream":{"id":"i-1","service":"search","slots":35,"state":"ready"}`,
		"10.0.0.2": `"failure_domain":"ro-a","upstream":{"id":"i-2","service":"search","slots":35,"state":"draining"}`,
		"10.0.0.3": `"failure_domain":"ro-a","leaving":true,"upstream":{"id":"i-3","service":"search","slots":30,"state":"ready"}`,
		"10.0.0.4": `"failure_domain":"ro-b","upstream":{"id":"i-4","service":"photos","slots":10,"state":"gone"}`,
		"10.0.0.5": `"failure_domain":"ro-b","removed":true,"upstream":{"id":"i-5","service":"photos","slots":10,"state":"ready"}`,
		"10.0.0.6": `"failure_domain":"ro-b"`,
	} {
		put(t, store, directory.KeyPrefix+node, `{"node":"`+node+`","version":1,"address":"`+node+`:8702",`+entry+`}`)
	}
	for _, args := range [][]string{{"status", "-o", "text"}, {"status", "-o", "json"}, {"status", "-service", "search", "-o", "text"}} {
		status, stdout, stderr := p.run(args...)
		assert.Equal(t, status, 0, stderr)
		golden.Assert(t, transcript(args, status, stdout, stderr), strings.ReplaceAll(strings.Join(args, ""), "-", ".")+".announced.golden")
	}
	put(t, store, directory.KeyPrefix+"10.0.0.7", `not an entry`)
	status, _, stderr := p.run("status")
	assert.Assert(t, status != 0)
	assert.Assert(t, strings.Contains(stderr, "10.0.0.7"), stderr)
}
