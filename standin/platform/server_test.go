package platform

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	store "github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

func start(t *testing.T) (*platformtest.Store, *store.Client) {
	t.Helper()
	s := platformtest.New(1)
	server := httptest.NewServer(NewHandler(s))
	t.Cleanup(server.Close)
	return s, store.NewClient(store.ClientConfig{URL: server.URL, Timeout: 2 * time.Second, PollTimeout: 50 * time.Millisecond})
}

func code(err error) resultcode.Code {
	if err == nil {
		return resultcode.OK
	}
	return resultcode.From(err).Code
}

// Guards against a write that silently overwrites another writer's change.
func TestUpdatesAreConditional(t *testing.T) {
	ctx := context.Background()
	_, c := start(t)
	first, err := c.Update(ctx, "settings/service/a b", 0, []byte("1"))
	assert.NilError(t, err)
	present, err := c.Update(ctx, "settings/service/a b", 0, []byte("2"))
	assert.Equal(t, code(err), resultcode.SettingsConflict)
	assert.DeepEqual(t, present, store.Object{Key: "settings/service/a b", Version: first.Version, Value: []byte("1")})
	second, err := c.Update(ctx, "settings/service/a b", first.Version, []byte("2"))
	assert.NilError(t, err)
	got, err := c.Get(ctx, "settings/service/a b")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, second)
	assert.Equal(t, code(c.Delete(ctx, "settings/service/a b", first.Version)), resultcode.SettingsConflict)
	assert.NilError(t, c.Delete(ctx, "settings/service/a b", second.Version))
	_, err = c.Get(ctx, "settings/service/a b")
	assert.Equal(t, code(err), resultcode.ScopeNotFound)
	missing, err := c.Update(ctx, "gone", 7, nil)
	assert.Equal(t, code(err), resultcode.SettingsConflict)
	assert.Equal(t, missing.Version, int64(0))
}

// Guards against a watcher that misses a change, or that takes events after a
// compaction as complete.
func TestWatch(t *testing.T) {
	ctx := context.Background()
	s, c := start(t)
	empty, err := c.Watch(ctx, "settings/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(empty.Events), 0)
	_, err = c.Update(ctx, "other", 0, []byte("x"))
	assert.NilError(t, err)
	o, err := c.Update(ctx, "settings/default", 0, []byte("x"))
	assert.NilError(t, err)
	events, err := c.Watch(ctx, "settings/", 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, events, store.Events{Version: o.Version, Events: []store.Object{o}})
	listing, err := c.List(ctx, "settings/")
	assert.NilError(t, err)
	assert.DeepEqual(t, listing, store.Listing{Version: o.Version, Objects: []store.Object{o}})
	s.Compact()
	_, err = c.Watch(ctx, "settings/", 0)
	assert.Assert(t, errors.Is(err, store.ErrCompacted))
}

// Guards against a fault that the client reports as another one: a writer
// decides from the code whether its write may have taken effect.
func TestFaultsMapToResultCodes(t *testing.T) {
	ctx := context.Background()
	for name, test := range map[string]struct {
		faults platformtest.Faults
		code   resultcode.Code
		effect bool
	}{
		"outage":        {platformtest.Faults{Outage: true}, resultcode.PlatformUnavailable, false},
		"lost response": {platformtest.Faults{LostResponseFraction: 1}, resultcode.PlatformUnavailable, true},
		"garbage":       {platformtest.Faults{GarbageFraction: 1}, resultcode.PlatformMalformed, true},
		"delay":         {platformtest.Faults{DelayMs: 4000}, resultcode.PlatformUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, c := start(t)
			s.SetFaults(test.faults)
			_, err := c.Update(ctx, "a", 0, []byte("1"))
			assert.Equal(t, code(err), test.code)
			s.SetFaults(platformtest.Faults{})
			_, err = c.Get(ctx, "a")
			assert.Equal(t, err == nil, test.effect)
		})
	}
}

// Guards against a rate limit that is reported as an outage, and against
// watches that are not counted.
func TestRateLimit(t *testing.T) {
	ctx := context.Background()
	s, c := start(t)
	s.SetFaults(platformtest.Faults{ReadsPerSecond: 0.001, WritesPerSecond: 0.001})
	_, err := c.Watch(ctx, "", 0)
	assert.NilError(t, err)
	_, err = c.Get(ctx, "a")
	assert.Equal(t, code(err), resultcode.PlatformRateLimited)
	_, err = c.Update(ctx, "a", 0, nil)
	assert.NilError(t, err)
	assert.Equal(t, code(c.Delete(ctx, "a", 1)), resultcode.PlatformRateLimited)
	assert.DeepEqual(t, s.Counts(), platformtest.Counts{Gets: 1, Updates: 1, Deletes: 1, Watches: 1, Limited: 2})
}

// Guards against a writer that, after a connection could not be established, waits for
// an effect that cannot occur, and against a key whose path names another object.
func TestCallsThatAreNotSent(t *testing.T) {
	c := store.NewClient(store.ClientConfig{URL: "http://127.0.0.1:1"})
	_, err := c.Update(context.Background(), "a", 0, nil)
	assert.Equal(t, code(err), resultcode.PlatformUnavailable)
	assert.Equal(t, resultcode.From(err).Execution, resultcode.NotRun)
	for _, key := range []string{"", "a//b", "../a", strings.Repeat("a/", 3)} {
		_, err := c.Get(context.Background(), key)
		assert.Equal(t, code(err), resultcode.SettingsInvalid, "%q", key)
	}
}

// Guards against a response body that exhausts the memory of the node, and against an
// update with a value that is larger than the platform stores.
func TestResponseSizeIsBounded(t *testing.T) {
	s := platformtest.New(1)
	server := httptest.NewServer(NewHandler(s))
	defer server.Close()
	_, err := s.Update(context.Background(), "a", 0, make([]byte, 4096))
	assert.NilError(t, err)
	c := store.NewClient(store.ClientConfig{URL: server.URL, MaxResponseBytes: 1024})
	_, err = c.Get(context.Background(), "a")
	assert.Equal(t, code(err), resultcode.PlatformMalformed)
	_, err = c.Update(context.Background(), "b", 0, make([]byte, store.MaxValueBytes+1))
	assert.Equal(t, code(err), resultcode.SettingsInvalid)
}
