package directory

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

func valid() Entry {
	e := entry("a", 5, Ready)
	e.Region, e.FailureDomain = "r", "r-a"
	return e
}

// oddEntries are entries with one value that no node writes, by the reason for refusing them.
func oddEntries() map[Reason][]func(e *Entry) {
	return map[Reason][]func(e *Entry){
		BadNode:        {func(e *Entry) { e.Node = "" }, func(e *Entry) { e.Node = strings.Repeat("n", 300) }, func(e *Entry) { e.Node = "a\r\nb" }},
		BadAddress:     {func(e *Entry) { e.Address = "" }, func(e *Entry) { e.Address = "a:0" }, func(e *Entry) { e.Address = "a:65536" }, func(e *Entry) { e.Address = "a:-1" }, func(e *Entry) { e.Address = "a" }, func(e *Entry) { e.Address = ":1" }, func(e *Entry) { e.Address = "a:1e3" }},
		BadVersion:     {func(e *Entry) { e.Version = 0 }, func(e *Entry) { e.Version = math.MaxUint64 }, func(e *Entry) { e.Version = math.MaxInt64 }},
		BadName:        {func(e *Entry) { e.Upstream.Service = "" }, func(e *Entry) { e.Region = "r\n" }, func(e *Entry) { e.FailureDomain = strings.Repeat("d", 300) }},
		BadUpstreamID:  {func(e *Entry) { e.Upstream.ID = "" }, func(e *Entry) { e.Upstream.ID = "i\r\nForged: 1" }},
		BadSlots:       {func(e *Entry) { e.Upstream.Slots = 0 }, func(e *Entry) { e.Upstream.Slots = -4 }, func(e *Entry) { e.Upstream.Slots = math.MaxInt }},
		BadState:       {func(e *Entry) { e.Upstream.State = "" }, func(e *Entry) { e.Upstream.State = "resting" }},
		BadIncarnation: {func(e *Entry) { e.Upstream.Incarnation = -1 }, func(e *Entry) { e.Upstream.Incarnation = math.MaxInt64 }, func(e *Entry) { e.Upstream.ColdMs = math.MaxInt64 }, func(e *Entry) { e.Upstream.ColdMs = -1 }},
	}
}

// Guards against an entry with a value out of range that is used, kept or sent on, and against
// one that hides the others.
func TestOddEntriesAreRefusedAlone(t *testing.T) {
	for reason, changes := range oddEntries() {
		for _, change := range changes {
			d := New(Entry{Node: "self", Address: "self:1"}, clock)
			var refused []error
			d.OnRefused(func(_ string, err error) { refused = append(refused, err) })
			odd := valid()
			change(&odd)
			before := d.Digest()
			assert.Equal(t, len(d.Merge([]Entry{odd})), 0, reason)
			assert.Equal(t, d.Digest(), before)
			assert.Equal(t, len(d.Merge([]Entry{odd, entry("b", 1, Ready)})), 1, reason)
			assert.Equal(t, len(d.All()), 2)
			assert.Equal(t, len(refused), 2)
			assert.Equal(t, ReasonOf(refused[0]), reason)
		}
	}
}

// Guards against a version near the top of its range that another writer has put into a node's
// entry and that the node cannot exceed, and against one at the bound.
func TestOwnerExceedsAnyVersion(t *testing.T) {
	now := clock()
	limit := uint64(now.Add(maxAhead).UnixMilli())
	for _, version := range []uint64{math.MaxUint64, math.MaxUint64 - 1, limit + 1, limit, limit - 1} {
		owner, other := New(Entry{Node: "a", Address: "a:1"}, clock), New(Entry{Node: "b", Address: "b:1"}, clock)
		spoiled := valid()
		spoiled.Version = version
		spoiled.Upstream.ID = "foreign"
		owner.Merge([]Entry{spoiled})
		other.Merge([]Entry{spoiled})
		own := owner.UpdateSelf(func(e *Entry) { e.Upstream = &Upstream{ID: "own", Service: "s", Slots: 1, State: Ready} })
		// Each millisecond raises the bound by one.
		other.now = func() time.Time { return now.Add(3 * time.Millisecond) }
		other.Merge([]Entry{own})
		e, _ := other.Get("a")
		assert.Equal(t, e.Upstream.ID, "own", "version %d", version)
	}
}

// Guards against entries that are logged again each time they are read.
func TestRefusalsAreLoggedOncePerWriterAndReason(t *testing.T) {
	var log strings.Builder
	r := NewRefusals(zerolog.New(&log), tally.NoopScope)
	for range 5 {
		for _, writer := range []string{"nodes/a", "nodes/b"} {
			r.Note(writer, invalid(BadSlots, "slots %d", 0))
			r.Note(writer, invalid(BadState, "state %s", strings.Repeat("x", 10_000)))
		}
	}
	assert.Equal(t, strings.Count(log.String(), "refused"), 4)
	assert.Assert(t, log.Len() < 4*2*maxDetailBytes)
	for i := range 2 * maxLoggedRefusals {
		r.Note(strings.Repeat("w", i), invalid(BadSlots, "slots"))
	}
	assert.Equal(t, strings.Count(log.String(), "refused"), maxLoggedRefusals)
}

// Guards against an entry of another writer that crashes a node, or that is stored but cannot
// be exceeded, encoded or chosen.
func FuzzMergeEntry(f *testing.F) {
	f.Add([]byte(`{"node":"a","version":5,"address":"a:1","upstream":{"id":"i","service":"s","slots":1,"state":"ready","cold_ms":5}}`))
	f.Add([]byte(`{"node":"self","version":18446744073709551615,"address":"self:1"}`))
	f.Add([]byte(`{"node":"a","version":1e400,"address":"a:99999"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var e Entry
		if json.Unmarshal(raw, &e) != nil {
			return
		}
		d := New(Entry{Node: "self", Address: "self:1"}, clock)
		d.Merge([]Entry{e})
		if d.Self().Version > uint64(clock().Add(maxAhead).UnixMilli())+1 {
			t.Fatalf("own version %d", d.Self().Version)
		}
		for _, kept := range d.All() {
			if _, err := json.Marshal(kept); err != nil {
				t.Fatal(err)
			}
			kept.ColdUntil()
		}
		d.Successor()
		d.Remove(e.Node, e.Version)
	})
}
