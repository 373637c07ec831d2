package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// decision is the author, reason and time of an override.
const decision = `"set_by":"ana","reason":"r","set_at":"2026-03-02T09:30:00Z"`

func parseName(t *testing.T, text string) ScopeName {
	t.Helper()
	name, err := ParseScopeName(text)
	assert.NilError(t, err)
	return name
}

// withOverride returns the JSON of a scope with one override.
func withOverride(field, value string) string {
	return fmt.Sprintf(`{"overrides":{%q:{"value":%s,%s}}}`, field, value, decision)
}

// Guards against a value that is accepted in a wrong unit, range, type or level,
// and against an error that lacks the path, the value or what would be accepted.
func TestDecodeRefusesInvalidValues(t *testing.T) {
	cases := []struct{ scope, field, value, want string }{
		{"default", "timeout", `"5"`, `overrides.timeout.value: "5": want a duration from 10ms to 30m`},
		{"default", "timeout", `5`, "overrides.timeout.value: 5: want a duration"},
		{"default", "timeout", `"5d"`, `"5d": want a duration`},
		{"default", "timeout", `"+5s"`, `"+5s": want a duration`},
		{"default", "timeout", `"9ms"`, `"9ms": want a duration`},
		{"default", "timeout", `"31m"`, `"31m": want a duration`},
		{"default", "queue_timeout", `"11s"`, "from 1ms to 10s"},
		{"default", "ramp_up", `"-1s"`, "from 0s to 10m"},
		{"default", "key_window", `"59s"`, "from 1m to 24h"},
		{"default", "isolation_limit", `"4m"`, "from 5m to 24h"},
		{"default", "max_body", `"1GB"`, `"1GB": want a size from 1KiB to 64GiB`},
		{"default", "max_body", `"1023B"`, "want a size"},
		{"default", "max_body", `"65GiB"`, "want a size"},
		{"default", "max_body", `"99999999999999999999B"`, "want a size"},
		{"default", "max_body", `"17179869185GiB"`, "want a size"},
		{"default", "max_body", `1024`, "want a size"},
		{"default", "retries", `11`, "11: want a whole number from 0 to 10"},
		{"default", "retries", `-1`, "-1: want a whole number"},
		{"default", "retries", `1.5`, "1.5: want a whole number"},
		{"default", "retries", `"3"`, `"3": want a whole number`},
		{"default", "moves", `33`, "from 0 to 32"},
		{"default", "hedge", `"true"`, "want true or false"},
		{"default", "queue_per_slot", `10.5`, "from 0 to 10"},
		{"default", "queue_per_slot", `"1"`, "want a number"},
		{"default", "queue_per_slot", `1e999`, "want a number"},
		{"default", "long_share", `0.05`, "from 0.1 to 1"},
		{"default", "straggler_share", `0.6`, "from 0 to 0.5"},
		{"default", "priority", `"urgent"`, "want background, normal, high or critical"},
		{"default", "idempotent", `"maybe"`, "want auto, yes or no"},
		{"default", "idempotent", `null`, "want text"},
		{"default", "retrys", `1`, "unknown field: want one of priority"},
		{"default", "Retries", `1`, "unknown field: want one of priority"},
		{"service/a", "match", `["GET /x"]`, "given at level service: want match only at level kind"},
		{"service/a/k", "long_share", `0.5`, "given at level kind: want long_share only at level default, region, service"},
		{"service/a/k", "match", `[]`, "want 1 to 32 rules"},
		{"service/a/k", "match", `"GET /x"`, "want a list"},
		{"service/a/k", "match", `["get /x"]`, `match.value[0]: "get /x": want a method`},
		{"service/a/k", "match", `["GET x"]`, "want a method"},
		{"service/a/k", "match", `["GET /x?y"]`, "want a method"},
		{"service/a/default", "match", `["GET /x"]`, "kind default takes the calls that match no other kind"},
	}
	for _, c := range cases {
		name := parseName(t, c.scope)
		document := withOverride(c.field, c.value)
		if name.Level == LevelKind {
			document = fmt.Sprintf(`{"overrides":{},"kinds":[{"name":%q,%s]}`, name.Kind, document[1:])
		}
		_, err := Decode(name, []byte(document))
		assert.ErrorContains(t, err, c.want, "%s %s", c.field, c.value)
		assert.ErrorContains(t, err, "object "+name.Key())
		assert.Equal(t, resultcode.From(err).Code, resultcode.SettingsInvalid)
	}
}

// Guards against an object that is accepted although its structure is invalid.
func TestDecodeRefusesInvalidStructure(t *testing.T) {
	ok := withOverride("retries", "1")
	kind := `{"name":"k","overrides":{}}`
	cases := []struct{ scope, document, want string }{
		{"default", `[]`, "want an object"},
		{"default", `{}`, "overrides: missing"},
		{"default", ok + "x", "not JSON"},
		{"default", "{\"overrides\":{},\"\xff\":1}", "JSON in UTF-8"},
		{"default", `{"overrides":{},"Kinds":[]}`, "Kinds: unknown field"},
		{"default", `{"overrides":{},"overrides":{}}`, "overrides: given twice"},
		{"default", `{"overrides":{"retries":{"value":1}}}`, "overrides.retries.reason: missing"},
		{"default", strings.Replace(ok, `"r"`, `" "`, 1), "overrides.retries.reason: \" \": want 1 to 500 bytes"},
		{"default", strings.Replace(ok, `"ana"`, `""`, 1), "overrides.retries.set_by"},
		{"default", strings.Replace(ok, "00Z", "00+01:00", 1), "overrides.retries.set_at"},
		{"default", `{"overrides":{},"kinds":[` + kind + `]}`, "kinds only in a service"},
		{"region/ro", `{"overrides":{},"kinds":[` + kind + `]}`, "kinds only in a service"},
		{"service/a", `{"overrides":{},"kinds":[` + kind + `,` + kind + `]}`, "kinds[1]: " + kind + ": want each kind once"},
		{"service/a", `{"overrides":{},"kinds":[{"name":"K","overrides":{}}]}`, "kinds[0].name"},
		{"service/a", `{"overrides":{},"history":[{"field":"x",` + decision + `}]}`, "either a value or unset"},
		{"service/a", `{"overrides":{},"write_ids":[""]}`, "write_ids[0]"},
	}
	for _, c := range cases {
		_, err := Decode(parseName(t, c.scope), []byte(c.document))
		assert.ErrorContains(t, err, c.want, c.document)
	}
}

// Guards against a validation that stops at the first problem.
func TestAllProblemsAtOnce(t *testing.T) {
	document := `{"extra":1,"overrides":{"retries":{"value":99},"nope":{"value":1,` + decision + `}}}`
	_, err := Decode(parseName(t, "default"), []byte(document))
	for _, path := range []string{"extra:", "overrides.retries.value:", "overrides.retries.set_by:", "overrides.nope: unknown field"} {
		assert.ErrorContains(t, err, path)
	}
	err = CheckAll([]Change{edit("default", "retries", "99"), edit("default", "nope", ""), edit("default", "retries", "1")})
	for _, part := range []string{"99: want", `unknown field "nope"`, "given twice"} {
		assert.ErrorContains(t, err, part)
	}
}

// Guards against an object that passes the check but that the platform's store then
// refuses as too large.
func TestObjectSizeIsBounded(t *testing.T) {
	scope := &Scope{Overrides: Overrides{}}
	long := strings.Repeat("x", MaxReasonBytes)
	for i := range MaxKinds {
		for _, field := range Fields() {
			if field.Levels&LevelKind != 0 {
				scope.setOverride(fmt.Sprintf("k%d", i), field.Name, Override{Value: field.FromText(field.Example), SetBy: "ana", Reason: long, SetAt: testTime})
			}
		}
	}
	_, err := Encode(parseName(t, "service/a"), scope)
	assert.ErrorContains(t, err, "want at most 1000000")
	assert.Equal(t, resultcode.From(err).Code, resultcode.SettingsInvalid)
}

// Guards against scope names and keys that would resolve to another object.
func TestScopeNames(t *testing.T) {
	for _, text := range []string{"default", "region/ro", "service/search", "service/search/upload"} {
		name := parseName(t, text)
		assert.Equal(t, name.String(), text)
		object, err := ParseKey(name.Key())
		assert.NilError(t, err)
		assert.Equal(t, object, name.ObjectScope())
	}
	for _, text := range []string{"", "Default", "default/x", "region", "region/", "region/a/b", "service//x", "service/a/b/c", "service/../x", "service/A", "service/" + strings.Repeat("a", 64)} {
		_, err := ParseScopeName(text)
		assert.Equal(t, resultcode.From(err).Code, resultcode.SettingsInvalid, text)
	}
	for _, key := range []string{"settings/service/a/b", "status/a", "settings/"} {
		_, err := ParseKey(key)
		assert.Equal(t, resultcode.From(err).Code, resultcode.SettingsInvalid, key)
	}
}

// Guards against an input that crashes the parser, and against an accepted object
// that changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	f.Add("service/a", []byte(withOverride("retries", "1")))
	f.Add("service/a", []byte(`{"overrides":{},"kinds":[{"name":"k","overrides":{"match":{"value":["GET /x"],`+decision+`}}}]}`))
	f.Add("default", []byte(`{"overrides":{},"history":[{"field":"retries","unset":true,`+decision+`}],"write_ids":["a"]}`))
	f.Fuzz(func(t *testing.T, scopeText string, data []byte) {
		name, err := ParseScopeName(scopeText)
		if err != nil {
			return
		}
		scope, err := Decode(name, data)
		if err != nil {
			if resultcode.From(err).Code != resultcode.SettingsInvalid {
				t.Fatalf("error without code: %v", err)
			}
			return
		}
		Scopes{name.ObjectScope(): scope}.Tree().Resolve(Path{Region: "r", Service: name.Name, Kind: name.Kind})
		value, err := Encode(name, scope)
		if err != nil && len(data) < MaxScopeBytes/10 {
			t.Fatalf("accepted but not written back: %v", err)
		}
		again, err := Decode(name, value)
		assert.NilError(t, err)
		first, _ := json.Marshal(scope)
		second, _ := json.Marshal(again)
		assert.Equal(t, string(first), string(second))
	})
}

// Guards against a value on the command line that crashes the parser, and against
// one that resolves to another value than its canonical form does.
func FuzzFieldText(f *testing.F) {
	for _, field := range Fields() {
		f.Add(field.Name, field.Example)
	}
	f.Fuzz(func(t *testing.T, fieldName, text string) {
		field, ok := LookupField(fieldName)
		if !ok || field.Name == "match" {
			return
		}
		change := Change{Scope: ScopeName{Level: LevelDefault}, Field: field.Name, Value: field.FromText(text), SetBy: "ana", Reason: "r", SetAt: testTime}
		if change.Check() != nil {
			return
		}
		tree := scopesOf(change).Tree()
		canonical := field.ValueIn(tree.Resolve(Path{}))
		again := Change{Scope: change.Scope, Field: field.Name, Value: field.FromText(FormatText(canonical)), SetBy: "ana", Reason: "r", SetAt: testTime}
		assert.NilError(t, again.Check(), "%s", canonical)
		assert.Equal(t, scopesOf(again).Tree().Resolve(Path{}), tree.Resolve(Path{}))
	})
}
