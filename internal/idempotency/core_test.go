package idempotency

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

var (
	memberA = Member{Identity: Identity{"a", 1}, Address: "a"}
	memberB = Member{Identity: Identity{"b", 1}, Address: "b"}
	memberC = Member{Identity: Identity{"c", 1}, Address: "c"}
)

// keyAt returns a random key with an issue time in unix milliseconds.
func keyAt(ms int64) uuid.UUID {
	key := uuid.New()
	for i := range 6 {
		key[i] = byte(ms >> (40 - 8*i))
	}
	key[6] = key[6]&0x0f | keyVersion<<4
	return key
}

// soleOwner returns a core that owns every key issued from 1000 on.
func soleOwner(t *testing.T, maxKeys int) *core {
	c := newCore(coreConfig{self: memberA, window: time.Minute, isolationLimit: time.Hour, maxKeys: maxKeys})
	_, err := c.adopt(&Record{Service: "s", Version: 1, ValidUntil: unlimited, Epochs: []Epoch{{1, 1000, []Member{memberA}}}})
	assert.NilError(t, err)
	return c
}

// Guards against an attempt that is refused the key it already holds when it
// acquires it again, and against another attempt that is granted the key before the first
// one was reported as not run, or after one ran or may have run.
func TestKeyStates(t *testing.T) {
	c := soleOwner(t, 10)
	key, first, second := keyAt(2000), uuid.New(), uuid.New()
	state := func(attempt uuid.UUID) KeyState { return c.acquire(2000, key, attempt).State }
	assert.Equal(t, state(first), Granted)
	assert.Equal(t, state(first), Granted)
	assert.Equal(t, state(second), Running)
	c.complete(key, second, resultcode.NotRun, 0)
	assert.Equal(t, state(second), Running)
	c.complete(key, first, resultcode.NotRun, 0)
	assert.Equal(t, state(first), Running, "an attempt that reported its outcome is not granted again")
	third := uuid.New()
	assert.Equal(t, state(third), Granted)
	c.complete(key, third, resultcode.Run, 402)
	assert.DeepEqual(t, c.acquire(2000, key, uuid.New()), AcquireResult{State: Completed, Status: 402})
	lost := keyAt(2000)
	assert.Equal(t, c.acquire(2000, lost, first).State, Granted)
	c.complete(lost, first, resultcode.Unknown, 0)
	assert.Equal(t, c.acquire(2000, lost, second).State, Unknown)
}

// Guards against a key that stays held because an acquisition arrives after the
// report that its attempt was not run.
func TestReportBeforeAcquisition(t *testing.T) {
	c := soleOwner(t, 10)
	key, attempt := keyAt(2000), uuid.New()
	c.complete(key, attempt, resultcode.NotRun, 0)
	assert.Equal(t, c.acquire(2000, key, attempt).State, Running)
	assert.Equal(t, c.acquire(2000, key, uuid.New()).State, Granted)
}

// Guards against keys that are granted although they were issued outside the times
// for which the owner can prove that no other process granted them.
func TestIssueTimeLimits(t *testing.T) {
	c := soleOwner(t, 10)
	now := int64(100_000)
	for issued, want := range map[int64]KeyState{
		now + 6000: NotOwner, now + 5999: Granted, now: Granted,
		now - 60_000: Granted, now - 60_001: TooOld, 999: TooOld,
	} {
		assert.Equal(t, c.acquire(now, keyAt(issued), uuid.New()).State, want, "issued at %d", issued)
	}
}

// Guards against a grant limit that ignores a member without a lease, the epoch of
// a lease, valid_until, or a pending change of members, and against a lease or a leave that
// ignores such a change.
func TestGrantLimit(t *testing.T) {
	c := newCore(coreConfig{self: memberA, window: time.Minute, isolationLimit: time.Hour, maxKeys: 10})
	record := &Record{Service: "s", Version: 5, ValidUntil: 50_000, Epochs: []Epoch{{3, 1000, []Member{memberA, memberB, memberC}}}}
	_, err := c.adopt(record)
	assert.NilError(t, err)
	c.receiveLease(memberB.Identity, 3, 20_000)
	assert.Equal(t, c.grantLimit(), int64(0))
	c.receiveLease(memberC.Identity, 2, 20_000)
	assert.Equal(t, c.grantLimit(), int64(0))
	c.receiveLease(memberC.Identity, 3, 30_000)
	assert.Equal(t, c.grantLimit(), int64(20_000))
	c.receiveLease(memberB.Identity, 3, unlimited)
	c.receiveLease(memberC.Identity, 3, unlimited)
	assert.Equal(t, c.grantLimit(), int64(50_000))
	until, _ := c.giveLease(10_000, memberC.Identity, true)
	assert.Equal(t, until, int64(16_000))
	p := c.propose(11_000, memberChange{remove: []Identity{memberC.Identity}}, "w")
	assert.Equal(t, p.start, int64(16_000))
	assert.Equal(t, c.grantLimit(), p.start)
	until, _ = c.giveLease(15_000, memberB.Identity, true)
	assert.Equal(t, until, p.start)
	assert.Assert(t, !c.leave())
	p.maybeSent = true
	c.discardUnsent(p)
	assert.Equal(t, c.grantLimit(), p.start)
}

// Guards against a full table that removes a key to make room for a newer one and then
// grants the removed key again.
func TestKeyTableNeverGrantsTwice(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := soleOwner(t, 5)
		keys := make([]uuid.UUID, 12)
		for i := range keys {
			keys[i] = keyAt(2000 + rapid.Int64Range(0, 8).Draw(r, "issued"))
		}
		ran := make(map[uuid.UUID]bool)
		for range 60 {
			key := rapid.SampledFrom(keys).Draw(r, "key")
			attempt := uuid.New()
			if c.acquire(2000, key, attempt).State != Granted {
				continue
			}
			if ran[key] {
				r.Fatalf("key %s was granted twice", key)
			}
			execution := rapid.SampledFrom([]resultcode.Execution{resultcode.NotRun, resultcode.Run, resultcode.Unknown}).Draw(r, "run")
			ran[key] = execution != resultcode.NotRun
			c.complete(key, attempt, execution, 200)
			assert.Assert(t, len(c.keys.remembered) <= 5)
		}
	})
}

// Guards against a change that moves keys away from a member that
// membersLosingKeys does not return.
func TestMembersLosingKeysCoverAllMovedKeys(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pool := []Member{memberA, memberB, memberC, {Identity: Identity{"a", 2}}, {Identity: Identity{"d", 1}}}
		before := Epoch{Members: rapid.SliceOfNDistinct(rapid.SampledFrom(pool), 1, 4, func(m Member) Identity { return m.Identity }).Draw(r, "before")}
		after := Epoch{Members: rapid.SliceOfNDistinct(rapid.SampledFrom(pool), 0, 4, func(m Member) Identity { return m.Identity }).Draw(r, "after")}
		losing := Epoch{Members: before.membersLosingKeys(after.Members)}
		for range 50 {
			key := keyAt(rapid.Int64Range(0, 1<<40).Draw(r, "issued"))
			was, _ := before.Owner(key)
			is, ok := after.Owner(key)
			if (!ok || was.Identity != is.Identity) && !losing.Has(was.Identity) {
				r.Fatalf("%v lost a key but is not among the members losing keys", was)
			}
		}
	})
}

// Guards against accepting a key that is not a UUIDv7: it has no issue time, on
// which every decision about ownership depends.
func TestIssueTime(t *testing.T) {
	issued, err := IssueTime(keyAt(123_456))
	assert.NilError(t, err)
	assert.Equal(t, issued, int64(123_456))
	_, err = IssueTime(uuid.New())
	assert.Equal(t, resultcode.From(err).Code, resultcode.InvalidKey)
}

// Guards against a report queue that grows without bound, drops a report other than that
// of the oldest key or keeps those of expired keys, and against a report that an attempt
// did not run which replaces one that it ran.
func TestReportQueue(t *testing.T) {
	q := newReportQueue(2)
	first := reportID{keyAt(1000), uuid.New()}
	q.add(&report{reportID: first, execution: resultcode.Run})
	q.add(&report{reportID: first, execution: resultcode.NotRun})
	assert.Equal(t, q.queued[first].execution, resultcode.Run)
	q.add(&report{reportID: reportID{keyAt(3000), uuid.New()}})
	q.add(&report{reportID: reportID{keyAt(2000), uuid.New()}})
	assert.Equal(t, q.len(), 2)
	assert.Equal(t, q.dropped, int64(1))
	assert.Assert(t, q.queued[first] == nil)
	assert.Equal(t, len(q.takeDue(0, 2500, 10)), 1)
	assert.Equal(t, q.len(), 1)
}
