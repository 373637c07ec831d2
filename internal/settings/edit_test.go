package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Guards against an edit that loses the values, authors and reasons set before it,
// or that modifies the scope it is applied to.
func TestHistoryKeepsEarlierDecisions(t *testing.T) {
	empty := &Scope{Overrides: Overrides{}}
	scope := empty
	for i, value := range []string{"1", "2", "", "4"} {
		c := edit("service/a/k", "retries", value)
		c.SetBy, c.Reason, c.SetAt = fmt.Sprint("op", i), fmt.Sprint("why", i), testTime.Add(time.Duration(i)*time.Hour)
		scope = scope.WithChanges(fmt.Sprint("w", i), []Change{c})
	}
	var got []string
	for _, r := range scope.HistoryOf("k", "retries") {
		got = append(got, fmt.Sprintf("%s %s %s %v %s", r.SetBy, r.Reason, r.SetAt.Format("15:04"), r.Unset, r.Value))
	}
	assert.DeepEqual(t, got, []string{
		"op0 why0 09:30 false 1", "op1 why1 10:30 false 2", "op2 why2 11:30 true ", "op3 why3 12:30 false 4",
	})
	assert.DeepEqual(t, scope.WriteIDs, []string{"w3", "w2", "w1", "w0"})
	assert.Assert(t, scope.HasWriteID("w0") && !scope.HasWriteID("w9"))
	assert.Equal(t, len(empty.Overrides)+len(empty.Kinds)+len(empty.History)+len(empty.WriteIDs), 0)
	_, err := Encode(edit("service/a", "hedge", "").Scope, scope)
	assert.NilError(t, err)
}

// Guards against a history that grows without bound, and against a frequently
// changed field that displaces the history of another field.
func TestHistoryIsBounded(t *testing.T) {
	scope := &Scope{Overrides: Overrides{}}
	scope = scope.WithChanges("first", []Change{edit("service/a", "moves", "1")})
	scope = scope.WithChanges("second", []Change{edit("service/a", "moves", "2")})
	for i := range 40 {
		scope = scope.WithChanges(fmt.Sprint(i), []Change{edit("service/a", "retries", fmt.Sprint(i%10))})
	}
	assert.Equal(t, len(scope.HistoryOf("", "retries")), maxRecordsPerField+1)
	assert.Equal(t, len(scope.HistoryOf("", "moves")), 2)
	assert.Equal(t, len(scope.WriteIDs), maxWriteIDs)
	for i := range 60 {
		kind := fmt.Sprintf("service/a/k%d", i)
		for _, value := range []string{"1", "2", "3", "4", "5"} {
			scope = scope.WithChanges("w", []Change{edit(kind, "moves", value)})
		}
	}
	assert.Equal(t, len(scope.History), maxRecords)
}

// Guards against a change without an author, and against one whose reason is missing or
// too long.
func TestReasonAndAuthorAreMandatory(t *testing.T) {
	for _, value := range []string{"1", ""} {
		c := edit("default", "retries", value)
		c.Reason = " "
		assert.ErrorContains(t, c.Check(), "reason")
		c = edit("default", "retries", value)
		c.Reason = strings.Repeat("x", MaxReasonBytes+1)
		assert.ErrorContains(t, c.Check(), "reason")
		c = edit("default", "retries", value)
		c.SetBy = ""
		assert.ErrorContains(t, c.Check(), "author")
		assert.Equal(t, resultcode.From(c.Check()).Code, resultcode.SettingsInvalid)
	}
}

// Guards against a kind that remains without overrides and keeps its position in
// the order of match rules.
func TestKindRemovedWithLastOverride(t *testing.T) {
	scope := scopesOf(edit("service/a/k", "moves", "1"), edit("service/a/k", "retries", "1"))[parseName(t, "service/a")]
	scope = scope.WithChanges("x", []Change{edit("service/a/k", "moves", "")})
	assert.Equal(t, len(scope.Kinds), 1)
	scope = scope.WithChanges("y", []Change{edit("service/a/k", "retries", "")})
	assert.Equal(t, len(scope.Kinds), 0)
}

// Guards against an explanation that names another level than the one that sets the
// value in force, states another value than Resolve, or omits hidden overrides.
func TestExplainAgreesWithResolve(t *testing.T) {
	scopes := scopesOf(
		edit("default", "timeout", "9s"), edit("region/ro", "timeout", "8s"),
		edit("service/a", "timeout", "7s"), edit("service/a/k", "timeout", "6s"),
		edit("region/ro", "retries", "2"), edit("service/a/k", "match", "GET /x"),
	)
	path := Path{Region: "ro", Service: "a", Kind: "k"}
	values := scopes.Tree().Resolve(path)
	from := map[string]string{"timeout": "service/a/k", "retries": "region/ro", "match": "service/a/k"}
	for _, e := range scopes.Explain(path) {
		assert.Equal(t, e.From, from[e.Field], e.Field)
		assert.Equal(t, e.Override != nil, e.From != "")
		if field, _ := LookupField(e.Field); e.Field != "match" {
			assert.Equal(t, string(e.Value), string(field.ValueIn(values)), e.Field)
		}
		if e.Field == "timeout" {
			assert.Equal(t, len(e.Hidden), 3)
			assert.Equal(t, e.Hidden[0].Scope, "service/a")
			assert.Equal(t, e.Hidden[2].Scope, "default")
		}
	}
}
