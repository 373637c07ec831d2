package client

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

// Guards against a release without the operator's confirmation, against one that keeps
// the former members as owners, and against a malformed ownership record that is
// reported with another code than its own.
func TestRelease(t *testing.T) {
	const key = "ownership/payments"
	const record = `{"service":"payments","epochs":[{"number":"1","startUnixMs":"5","members":[{"id":"p-1","incarnation":"7"}]}],"validUntilUnixMs":"9"}`
	store := platformtest.New(1)
	p := newTestApp(store)
	put(t, store, key, record)
	status, _, _ := p.run("release", "payments")
	assert.Equal(t, status, 2)
	object, err := store.Get(context.Background(), key)
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), record)
	p.mustRun(t, "release", "payments", "-all-nodes-ended")
	object, err = store.Get(context.Background(), key)
	assert.NilError(t, err)
	value := strings.ReplaceAll(string(object.Value), " ", "")
	assert.Assert(t, strings.HasPrefix(value[strings.Index(value, `"epochs"`):], `"epochs":[{"number":"2"`), value)
	put(t, store, key, "not a record")
	status, _, stderr := p.run("release", "payments", "-all-nodes-ended")
	assert.Equal(t, status, 8, stderr)
}
