package settings

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
)

var testTime = time.Date(2026, 3, 2, 9, 30, 0, 0, time.UTC)

// edit returns a change of one field; an empty value unsets it.
func edit(scope, field, value string) Change {
	name, err := ParseScopeName(scope)
	if err != nil {
		panic(err)
	}
	c := Change{Scope: name, Field: field, SetBy: "ana", Reason: "test", SetAt: testTime}
	if value != "" {
		f, _ := LookupField(field)
		c.Value = f.FromText(value)
	}
	return c
}

// scopesOf returns the scopes that result from applying the changes, in order, to an
// empty tree.
func scopesOf(changes ...Change) Scopes {
	scopes := Scopes{}
	for i, c := range changes {
		object := c.Scope.ObjectScope()
		if scopes[object] == nil {
			scopes[object] = &Scope{Overrides: Overrides{}}
		}
		scopes[object] = scopes[object].WithChanges(fmt.Sprint(i), []Change{c})
	}
	return scopes
}

// objectOf returns the object of the first change's scope after all changes.
func objectOf(t *testing.T, revision int64, changes ...Change) Object {
	t.Helper()
	scopes := scopesOf(changes...)
	name := changes[0].Scope.ObjectScope()
	value, err := Encode(name, scopes[name])
	assert.NilError(t, err)
	return Object{Key: name.Key(), Revision: revision, Value: value}
}

// Guards against a level that does not inherit, or that takes precedence over a
// lower one.
func TestLowerLevelsWinAndInherit(t *testing.T) {
	tree := scopesOf(
		edit("default", "retries", "5"), edit("default", "timeout", "9s"), edit("default", "moves", "1"),
		edit("region/ro", "timeout", "8s"), edit("region/ro", "moves", "2"), edit("region/ro", "hedge", "false"),
		edit("service/search", "moves", "3"), edit("service/search", "max_body", "1MiB"),
		edit("service/search/upload", "moves", "4"), edit("service/search/upload", "priority", "critical"),
	).Tree()
	want := Defaults()
	want.Retries, want.Timeout, want.Moves = 5, 9*time.Second, 1
	assert.Equal(t, tree.Resolve(Path{}), want)
	assert.Equal(t, tree.Resolve(Path{Region: "de", Service: "none", Kind: "upload"}), want)
	want.Timeout, want.Moves, want.Hedge = 8*time.Second, 2, false
	assert.Equal(t, tree.Resolve(Path{Region: "ro"}), want)
	want.Moves, want.MaxBodyBytes = 3, 1<<20
	assert.Equal(t, tree.Resolve(Path{Region: "ro", Service: "search", Kind: "none"}), want)
	want.Moves, want.Priority = 4, call.Critical
	assert.Equal(t, tree.Resolve(Path{Region: "ro", Service: "search", Kind: "upload"}), want)
}

// Guards against a field that is missing in copyField: each field, set on its own,
// must appear in the resolved values.
func TestEveryFieldIsResolved(t *testing.T) {
	for _, field := range Fields() {
		if field.Name == "match" {
			continue
		}
		tree := scopesOf(edit("service/search", field.Name, field.Example)).Tree()
		got := field.ValueIn(tree.Resolve(Path{Service: "search"}))
		assert.Equal(t, string(got), string(field.FromText(field.Example)), field.Name)
		assert.Assert(t, string(got) != string(field.Default()), "%s: the example equals the default", field.Name)
	}
}

// Guards against a nil or empty tree that resolves to anything but the built-in
// defaults.
func TestEmptyTreeIsDefaults(t *testing.T) {
	var none *Tree
	assert.Equal(t, none.Resolve(Path{Service: "x"}), Defaults())
	assert.Equal(t, none.MatchKind("x", "GET", "/"), "")
	assert.Equal(t, NewHolder().Tree().Resolve(Path{Service: "x"}), Defaults())
}

// Guards against a match that ignores the order of kinds, the method or the
// boundaries of path segments.
func TestMatchKind(t *testing.T) {
	tree := scopesOf(
		edit("service/photos", "hedge", "false"),
		edit("service/photos/upload", "match", "POST /photos, PUT /photos/"),
		edit("service/photos/any-photo", "match", "* /photos"),
		edit("service/photos/never", "match", "POST /photos/late"),
		edit("service/photos/unmatched", "retries", "0"),
	).Tree()
	cases := []struct{ method, path, kind string }{
		{"POST", "/photos", "upload"},
		{"POST", "/photos/late", "upload"},
		{"PUT", "/photos/1", "upload"},
		{"PUT", "/photos", "any-photo"},
		{"GET", "/photos/1", "any-photo"},
		{"GET", "/photostream", ""},
		{"GET", "/", ""},
		{"GET", "", ""},
	}
	for _, c := range cases {
		assert.Equal(t, tree.MatchKind("photos", c.method, c.path), c.kind, "%s %s", c.method, c.path)
	}
	assert.Equal(t, tree.MatchKind("search", "POST", "/photos"), "")
}

// Guards against heap allocations in the lookups that run for every call.
func TestLookupsDoNotAllocate(t *testing.T) {
	tree := largeTree(100)
	path := Path{Region: "r1", Service: "s7", Kind: "upload"}
	var sum int
	allocations := testing.AllocsPerRun(100, func() {
		sum += tree.Resolve(path).Moves + len(tree.MatchKind("s7", "GET", "/x/3"))
	})
	assert.Equal(t, allocations, 0.0)
}

// largeTree returns a tree with six regions and the given number of services, each with
// two kinds.
func largeTree(services int) *Tree {
	changes := []Change{edit("default", "timeout", "9s")}
	for r := range 6 {
		changes = append(changes, edit(fmt.Sprintf("region/r%d", r), "retries", "2"))
	}
	for s := range services {
		name := fmt.Sprintf("service/s%d", s)
		changes = append(changes,
			edit(name, "queue_per_slot", "0.5"), edit(name, "hedge", "false"), edit(name, "ramp_up", "20s"),
			edit(name+"/upload", "match", "POST /photos"), edit(name+"/upload", "moves", "4"),
			edit(name+"/lookup", "match", "GET /x"), edit(name+"/lookup", "timeout", "1s"))
	}
	return scopesOf(changes...).Tree()
}

func BenchmarkResolve(b *testing.B) {
	tree := largeTree(2900)
	path := Path{Region: "r1", Service: "s1450", Kind: "upload"}
	b.ReportAllocs()
	for b.Loop() {
		tree.Resolve(path)
	}
}

func BenchmarkMatchKind(b *testing.B) {
	tree := largeTree(2900)
	b.ReportAllocs()
	for b.Loop() {
		tree.MatchKind("s1450", "GET", "/x/1")
	}
}

func BenchmarkApplyOneService(b *testing.B) {
	h := NewHolder()
	h.state.Store(&state{tree: largeTree(2900)})
	scopes := scopesOf(edit("service/s1", "hedge", "false"))
	value, _ := json.Marshal(scopes[ScopeName{Level: LevelService, Name: "s1"}])
	revision := int64(0)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		if err := h.Apply(revision, []Object{{Key: "settings/service/s1", Revision: revision, Value: value}}); err != nil {
			b.Fatal(err)
		}
	}
}
