package call

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

var testNow = time.Unix(1_800_000_000, 0)

// forwardedMetadata returns the metadata of a non-idempotent call in which every field
// that is forwarded has a value.
func forwardedMetadata() Metadata {
	id := uuid.MustParse("0197a1b2-0000-7000-8000-000000000001")
	return Metadata{
		RequestID: id, Lineage: id, Key: id, Attempt: uuid.MustParse("0b8d4f3e-5d0a-4c56-9a35-6f0a7f5ac001"),
		Service: "search", Kind: "default", Priority: High, Deadline: testNow.Add(1500 * time.Millisecond),
		Allowance: Allowance{Retries: 2, Moves: 5}, Depth: 3,
	}
}

// Guards against a field of the metadata that is lost or changed when a node writes it to
// the headers of a forwarded call and a peer node parses them.
func TestForwardRoundTrip(t *testing.T) {
	h := http.Header{}
	forwardedMetadata().WriteForward(h, testNow)
	m, err := ParseForward(h, testNow)
	assert.NilError(t, err)
	assert.Equal(t, m, forwardedMetadata())
}

// Guards against a header value of a forwarded call that is accepted although it is
// malformed, negative, out of range or too long, or that is refused with a code that
// misstates the reason.
func TestInvalidHeadersAreRefused(t *testing.T) {
	for _, c := range []struct {
		name, value string
		want        resultcode.Code
	}{
		{HeaderTimeout, "", resultcode.MalformedHeader},
		{HeaderTimeout, "-1", resultcode.MalformedHeader},
		{HeaderTimeout, "+1", resultcode.MalformedHeader},
		{HeaderTimeout, "1.5", resultcode.MalformedHeader},
		{HeaderTimeout, " 1", resultcode.MalformedHeader},
		{HeaderTimeout, "86400001", resultcode.MalformedHeader},
		{HeaderTimeout, "1800000000000", resultcode.MalformedHeader},
		{HeaderTimeout, "99999999999999999999999999", resultcode.MalformedHeader},
		{HeaderPriority, "urgent", resultcode.UnknownPriority},
		{HeaderPriority, "High", resultcode.UnknownPriority},
		{HeaderService, "Search", resultcode.MalformedHeader},
		{HeaderService, "1search", resultcode.MalformedHeader},
		{HeaderService, strings.Repeat("a", maxValueBytes+1), resultcode.HeadersTooLarge},
		{HeaderKind, strings.Repeat("a", maxNameBytes+1), resultcode.MalformedHeader},
		{HeaderKey, "0b8d4f3e-5d0a-4c56-9a35-6f0a7f5ac001", resultcode.InvalidKey},
		{HeaderKey, "{0197a1b2-0000-7000-8000-000000000001}", resultcode.InvalidKey},
		{HeaderRepeatable, "yes", resultcode.MalformedHeader},
		{HeaderAttempt, "1", resultcode.MalformedHeader},
		{HeaderRequestID, "0b8d4f3e-5d0a-4c56-9a35-6f0a7f5ac001", resultcode.MalformedHeader},
		{HeaderAllowance, "retries=-1,moves=0", resultcode.MalformedHeader},
		{HeaderAllowance, "retries=1", resultcode.MalformedHeader},
		{HeaderAllowance, "retries=65536,moves=0", resultcode.MalformedHeader},
		{HeaderDepth, "33", resultcode.DepthExceeded},
		{HeaderDepth, "256", resultcode.MalformedHeader},
	} {
		h := http.Header{}
		forwardedMetadata().WriteForward(h, testNow)
		h[c.name] = []string{c.value}
		_, err := ParseForward(h, testNow)
		assert.Assert(t, err != nil, "%s: %q", c.name, c.value)
		assert.Equal(t, resultcode.From(err).Code, c.want, "%s: %q", c.name, c.value)
	}
}

// Guards against a forwarded call that is accepted although one of the required headers
// is missing or appears twice.
func TestForwardNeedsEachHeaderOnce(t *testing.T) {
	for _, name := range requiredForwardHeaders {
		h := http.Header{}
		forwardedMetadata().WriteForward(h, testNow)
		h[name] = append(h[name][:1:1], h[name][0])
		_, err := ParseForward(h, testNow)
		assert.Assert(t, err != nil, "%s twice", name)
		delete(h, name)
		_, err = ParseForward(h, testNow)
		assert.Assert(t, err != nil, "%s missing", name)
	}
}

// Guards against two different nested calls with the same idempotency key, against a key
// that changes when the parent call runs again, and against a key that is not a UUIDv7 or
// lacks the issue time of the parent's lineage.
func TestNestedLineage(t *testing.T) {
	a := forwardedMetadata().Lineage
	b := uuid.MustParse("0197a1b2-0000-7000-8000-000000000002")
	seen := map[uuid.UUID]bool{}
	for _, parent := range []uuid.UUID{a, b} {
		for _, name := range [][2]string{{"search", "x"}, {"searchx", ""}, {"ledger", "x"}} {
			for ordinal := range 3 {
				id := NestedLineage(parent, name[0], name[1], ordinal)
				assert.Equal(t, id, NestedLineage(parent, name[0], name[1], ordinal))
				_, ok := parseUUIDv7(id.String())
				assert.Assert(t, ok)
				assert.DeepEqual(t, id[:uuidTimeBytes], parent[:uuidTimeBytes])
				assert.Assert(t, !seen[id])
				seen[id] = true
			}
		}
	}
}

// Guards against a parser that panics, accepts values beyond the limits or refuses a call
// without stating that it did not run, and against parsed metadata that changes when the
// call is forwarded again.
func FuzzParseForward(f *testing.F) {
	f.Add("1500", "retries=2,moves=5", "3", "high", "0197a1b2-0000-7000-8000-000000000001", "no")
	f.Add("-1", "retries=,moves=", "33", "", "{0197a1b2-0000-7000-8000-000000000001}", "yes")
	f.Add("86400001", "retries=65536,moves=1", "-0", "HIGH", "urn:uuid:0197a1b2-0000-7000-8000-000000000001", "")
	f.Fuzz(func(t *testing.T, timeout, allowance, depth, priority, id, repeatable string) {
		h := http.Header{}
		forwardedMetadata().WriteForward(h, testNow)
		for name, text := range map[string]string{
			HeaderTimeout: timeout, HeaderAllowance: allowance, HeaderDepth: depth,
			HeaderPriority: priority, HeaderKey: id, HeaderRepeatable: repeatable,
		} {
			h[name] = []string{text}
		}
		m, err := ParseForward(h, testNow)
		if err != nil {
			assert.Equal(t, resultcode.From(err).Execution, resultcode.NotRun)
			return
		}
		assert.Assert(t, m.Depth <= MaxDepth && m.Priority < PriorityCount && !m.Idempotent)
		assert.Assert(t, m.Remaining(testNow) >= 0 && m.Remaining(testNow) <= MaxTimeout)
		again := http.Header{}
		m.WriteForward(again, testNow)
		reparsed, err := ParseForward(again, testNow)
		assert.NilError(t, err)
		assert.Equal(t, reparsed, m)
	})
}
