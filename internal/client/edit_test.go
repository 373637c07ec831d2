package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Guards against the loss of one of two operators' concurrent edits of different
// fields.
func TestRacingEditsOfDifferentFieldsMerge(t *testing.T) {
	store := platformtest.New(1)
	hooked := &hookStore{Store: store}
	ana, ivo := newTestApp(hooked), newTestApp(store)
	ana.mustRun(t, "set", "service/search", "moves=1", "-reason", "start")
	hooked.beforeUpdate = func() {
		ivo.mustRun(t, "set", "service/search", "hedge=false", "-reason", "ivo's")
	}
	stdout := ana.mustRun(t, "set", "service/search", "retries=1", "-reason", "ana's")
	assert.Assert(t, strings.Contains(stdout, "merged with another operator's edit"), stdout)
	view := ana.mustRun(t, "get", "service/search")
	assert.Assert(t, strings.Contains(view, "ivo's") && strings.Contains(view, "ana's") && strings.Contains(view, "start"), view)
}

// Guards against an edit with -if-version that is merged with another operator's later
// edit instead of being refused.
func TestExactVersionIsNotMerged(t *testing.T) {
	store := platformtest.New(1)
	hooked := &hookStore{Store: store}
	ana, ivo := newTestApp(hooked), newTestApp(store)
	ana.mustRun(t, "set", "service/search", "moves=1", "-reason", "start", "-if-version", "0")
	hooked.beforeUpdate = func() {
		ivo.mustRun(t, "set", "service/search", "hedge=false", "-reason", "ivo's")
	}
	status, _, stderr := ana.run("set", "service/search", "retries=1", "-reason", "ana's", "-if-version", "1")
	assert.Equal(t, status, 4, stderr)
	assert.Assert(t, strings.Contains(stderr, "service/search is at version 2, this edit started from version 1"), stderr)
	assert.Assert(t, !strings.Contains(ana.mustRun(t, "history", "service/search"), "ana's"))
}

// Guards against an edit that silently replaces another operator's when both have read the same
// version, in different eras of the store.
func TestEditAcrossReturnOfStoreIsReported(t *testing.T) {
	for _, lost := range []bool{false, true} {
		store := platformtest.New(1)
		hooked := &hookStore{Store: store}
		ana, ivo := newTestApp(hooked), newTestApp(store)
		empty := store.Copy()
		ana.mustRun(t, "set", "service/search", "moves=1", "-reason", "start")
		hooked.beforeUpdate = func() {
			store.Restore(empty)
			ivo.mustRun(t, "set", "service/search", "retries=2", "-reason", "ivo's")
			if lost {
				store.SetFaults(platformtest.Faults{LateWriteFraction: 1, LateWriteMs: 3_600_000})
			}
		}
		status, stdout, stderr := ana.run("set", "service/search", "retries=1", "-reason", "ana's")
		if lost {
			assert.Equal(t, status, 4, stderr)
			continue
		}
		assert.Assert(t, strings.Contains(stdout, "the store has returned from an older copy"), "%s%s", stdout, stderr)
	}
}

// Guards against an edit that overwrites another operator's concurrent decision
// about the same field, also when that decision keeps the value for another reason
// or removes the override.
func TestRacingEditsOfOneFieldConflict(t *testing.T) {
	for _, theirs := range [][]string{
		{"set", "service/search", "retries=4", "-reason", "theirs"},
		{"set", "service/search", "retries=2", "-reason", "theirs"},
		{"unset", "service/search", "retries", "-reason", "theirs"},
	} {
		store := platformtest.New(1)
		hooked := &hookStore{Store: store}
		ana, ivo := newTestApp(hooked), newTestApp(store)
		ana.mustRun(t, "set", "service/search", "retries=2", "-reason", "start")
		hooked.beforeUpdate = func() { ivo.mustRun(t, append(theirs, "-by", "ivo")...) }
		status, _, stderr := ana.run("set", "service/search", "retries=3", "-reason", "mine")
		assert.Equal(t, status, 4, stderr)
		for _, part := range []string{"error 402", "yours:  3 (ana", "mine", "theirs: ", "(ivo", "theirs)"} {
			assert.Assert(t, strings.Contains(stderr, part), "%q in %s", part, stderr)
		}
		history := ana.mustRun(t, "history", "service/search")
		assert.Assert(t, strings.Contains(history, "theirs") && !strings.Contains(history, "mine"), history)
	}
}

// Guards against a second write, or a reported failure, when only the response to
// a write was lost.
func TestWriteWithLostResponseIsRecognised(t *testing.T) {
	for name, faults := range map[string]platformtest.Faults{
		"lost":    {LostResponseFraction: 1},
		"late":    {LateWriteFraction: 1, LateWriteMs: 250},
		"delayed": {LostResponseFraction: 0.7, LateWriteFraction: 0.7, LateWriteMs: 150},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := platformtest.New(1)
			p := newTestApp(store)
			store.SetFaults(faults)
			stdout := p.mustRun(t, "set", "service/search", "retries=1", "-reason", "once")
			assert.Assert(t, strings.Contains(stdout, "the response to the write was lost"), "%s: %s", name, stdout)
			time.Sleep(time.Minute)
			store.SetFaults(platformtest.Faults{})
			history := p.mustRun(t, "history", "service/search")
			assert.Equal(t, strings.Count(history, "once"), 1, "%s: %s", name, history)
			object, err := store.Get(context.Background(), "settings/service/search")
			assert.NilError(t, err)
			assert.Equal(t, object.Version, int64(1))
		})
	}
}

// Guards against a write with a lost response that is not recognised because
// another operator wrote right after it.
func TestLostResponseBeforeLaterWrite(t *testing.T) {
	store := platformtest.New(1)
	ivo := newTestApp(store)
	ana := newTestApp(&lostResponseStore{Store: store, beforeLoss: func() {
		ivo.mustRun(t, "set", "service/search", "retries=5", "-reason", "later", "-by", "ivo")
	}})
	stdout := ana.mustRun(t, "set", "service/search", "retries=1", "-reason", "first")
	assert.Assert(t, strings.Contains(stdout, "the response to the write was lost"), stdout)
	history := ana.mustRun(t, "history", "service/search")
	assert.Assert(t, strings.Contains(history, "first") && strings.Contains(history, "later"), history)
}

// lostResponseStore applies the first update, calls beforeLoss for a later write
// and then loses the response to the update.
type lostResponseStore struct {
	platform.Store
	beforeLoss func()
}

func (s *lostResponseStore) Update(ctx context.Context, key string, ifVersion int64, value []byte) (platform.Object, error) {
	object, err := s.Store.Update(ctx, key, ifVersion, value)
	if s.beforeLoss == nil {
		return object, err
	}
	s.beforeLoss()
	s.beforeLoss = nil
	return platform.Object{}, resultcode.New(resultcode.PlatformUnavailable, "response lost")
}

// Guards against reporting a write with an unknown outcome as failed, and a command
// that cannot read the object, and so sends no write, as one that may have taken effect.
func TestUnknownWriteOutcomeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		p := newTestApp(store)
		store.SetFaults(platformtest.Faults{LateWriteFraction: 1, LateWriteMs: 3_600_000})
		status, _, stderr := p.run("set", "service/search", "retries=1", "-reason", "x")
		assert.Equal(t, status, 5, stderr)
		assert.Assert(t, strings.Contains(stderr, "may have taken effect or may still do so"), stderr)
		store.SetFaults(platformtest.Faults{Outage: true})
		status, _, stderr = p.run("set", "service/search", "retries=1", "-reason", "x")
		assert.Equal(t, status, 5)
		assert.Assert(t, !strings.Contains(stderr, "may have taken effect"), stderr)
		time.Sleep(2 * time.Hour)
	})
}

// Guards against writing one scope although the check of another failed, and
// against a partial failure that does not say what is in the store.
func TestApplyReportsPartialWrites(t *testing.T) {
	store := platformtest.New(1)
	hooked := &hookStore{Store: store}
	p, ivo := newTestApp(hooked), newTestApp(store)
	p.files["bad"] = `{"reason":"r","scopes":[{"scope":"service/a","set":{"retries":1}},{"scope":"service/b","set":{"retries":99}}]}`
	status, _, _ := p.run("apply", "bad")
	assert.Equal(t, status, 3)
	put(t, store, "settings/service/c", "not settings")
	p.files["unreadable"] = `{"reason":"r","scopes":[{"scope":"service/a","set":{"retries":1}},{"scope":"service/c","set":{"retries":1}}]}`
	status, _, stderr := p.run("apply", "unreadable")
	assert.Equal(t, status, 3)
	assert.Assert(t, strings.Contains(stderr, "-replace-invalid"), stderr)
	assert.Equal(t, store.Counts().Updates, int64(1), "only the test's own write")

	full := emptyScope()
	for i := range settings.MaxKinds {
		full.Kinds = append(full.Kinds, settings.Kind{Name: fmt.Sprintf("k%d", i), Overrides: settings.Overrides{}})
	}
	value, err := settings.Encode(settings.ScopeName{Level: settings.LevelService, Name: "d"}, full)
	assert.NilError(t, err)
	put(t, store, "settings/service/d", string(value))
	p.files["full"] = `{"reason":"r","scopes":[{"scope":"service/a","set":{"retries":1}},{"scope":"service/d/one-more","set":{"retries":1}}]}`
	status, _, stderr = p.run("apply", "full")
	assert.Equal(t, status, 3)
	assert.Assert(t, strings.Contains(stderr, "at most 256"), stderr)
	assert.Equal(t, store.Counts().Updates, int64(2), "only the test's own writes")

	p.files["good"] = `{"reason":"r","scopes":[{"scope":"service/a","set":{"retries":1}},{"scope":"service/b","set":{"retries":2}}]}`
	hooked.beforeUpdate = func() { ivo.mustRun(t, "set", "service/b", "retries=3", "-reason", "theirs") }
	status, _, stderr = p.run("apply", "good")
	assert.Equal(t, status, 4)
	assert.Assert(t, strings.Contains(stderr, "written: service/a at revision"), stderr)
	assert.Assert(t, strings.Contains(stderr, "not written: service/b"), stderr)
	p.mustRun(t, "apply", "good")
	assert.Assert(t, strings.Contains(p.mustRun(t, "apply", "good"), "2 changes were in force already"))
	p.mustRun(t, "apply", "unreadable", "-replace-invalid")
	p.mustRun(t, "check")
}

// Guards against an unreadable platform response or report that crashes the client
// or is reported with any other code than its own.
func TestMalformedPlatformResponses(t *testing.T) {
	for _, body := range []string{"", "<html>", `{"key":5}`, `{"key":"other","version":3}`, `{"version":-1,"objects":{}}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, body)
		}))
		p := newTestApp(nil)
		p.Dial = func(string) platform.Store {
			return platform.NewClient(platform.ClientConfig{URL: server.URL, Timeout: 5 * time.Second})
		}
		for _, args := range [][]string{{"get"}, {"get", "default"}, {"status"}, {"wait", "-timeout", "5s"}, {"set", "default", "retries=1", "-reason", "x"}} {
			status, _, stderr := p.run(args...)
			assert.Equal(t, status, 8, "%q %v: %s", body, args, stderr)
		}
		server.Close()
	}
	p, store := newPopulatedApp(t)
	for _, report := range []string{`{"failure_domain":"ro-b","written":"2026-03-02T09:45:00Z"}`, `{"failure_domain":"ro-a"}`, `x`} {
		put(t, store, "status/ro-a", report)
		status, _, stderr := p.run("status")
		assert.Equal(t, status, 8, stderr)
	}
}

// Guards against lost decisions: while operators edit concurrently and responses
// are lost, late or garbled, each edit that was reported as written stays in the
// history, and each that was reported as not written never appears there.
func TestConcurrentEditsLoseNoDecision(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { runConcurrentOperators(t, seed) })
	}
}

func runConcurrentOperators(t *testing.T, seed uint64) {
	const operators, edits = 4, 6
	store := platformtest.New(seed)
	store.SetFaults(platformtest.Faults{DelayMs: 3, LostResponseFraction: 0.2, LateWriteFraction: 0.2, LateWriteMs: 170, GarbageFraction: 0.05})
	var mu sync.Mutex
	outcome := map[string]int{}
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			p := newTestApp(store)
			for edit := range edits {
				reason := fmt.Sprintf("edit-%d-%d", operator, edit)
				field := []string{"retries", "moves", "hedge", "priority"}[random.IntN(4)]
				f, _ := settings.LookupField(field)
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
				status, _, _ := p.run("set", "service/a", field+"="+f.Example, "-reason", reason)
				mu.Lock()
				outcome[reason] = status
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Minute)
	store.SetFaults(platformtest.Faults{})
	history := newTestApp(store).mustRun(t, "history", "service/a")
	for reason, status := range outcome {
		count := strings.Count(history, reason)
		switch status {
		case 0:
			assert.Equal(t, count, 1, "seed %d: %s was written", seed, reason)
		case 4:
			assert.Equal(t, count, 0, "seed %d: %s conflicted", seed, reason)
		default:
			assert.Assert(t, count <= 1, "seed %d: %s has an unknown outcome", seed, reason)
		}
	}
}
