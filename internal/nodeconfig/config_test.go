package nodeconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const example = `{"node_id": "search-1", "region": "ro", "failure_domain": "ro-a",
 "listen": {"caller": "127.0.0.1:8080", "loopback": "127.0.0.1:8081",
            "peer": "127.0.0.1:8082", "gossip": "127.0.0.1:8083",
            "admin": "127.0.0.1:8084"},
 "platform": {"url": "http://127.0.0.1:8090", "timeout": "1s"},
 "seeds": ["127.0.0.1:8183"],
 "policy": "full", "shutdown_limit": "10m", "log_level": "info",
 "trace": {"otlp_endpoint": ""}}`

// Guards against a parser that drops a field of the documented file, and against an
// absent file that is not reported as a usage error.
func TestLoadDocumentedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	assert.NilError(t, os.WriteFile(path, []byte(example), 0o600))
	config, err := Load(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, config, Config{
		NodeID: "search-1", Region: "ro", FailureDomain: "ro-a",
		Listen: Listen{
			Caller: "127.0.0.1:8080", Loopback: "127.0.0.1:8081", Peer: "127.0.0.1:8082",
			Gossip: "127.0.0.1:8083", Admin: "127.0.0.1:8084",
		},
		Platform: Platform{URL: "http://127.0.0.1:8090", Timeout: time.Second},
		Seeds:    []string{"127.0.0.1:8183"}, Policy: PolicyFull, ShutdownLimit: 10 * time.Minute, LogLevel: "info",
	})
	_, err = Load(filepath.Join(t.TempDir(), "absent"))
	assert.Equal(t, resultcode.From(err).Code, resultcode.Usage)
}

// Guards against absent optional fields that stay empty instead of taking their
// defaults.
func TestDefaults(t *testing.T) {
	document := strings.ReplaceAll(example, "\n", " ")
	document = document[:strings.Index(document, `"platform"`)]
	config, err := Parse("node.json", []byte(strings.TrimRight(document, " ,")+"}"))
	assert.NilError(t, err)
	assert.Equal(t, config.Policy, PolicyFull)
	assert.Equal(t, config.ShutdownLimit, DefaultShutdownLimit)
	assert.Equal(t, config.Platform.Timeout, DefaultPlatformTimeout)
	assert.Equal(t, config.LogLevel, DefaultLogLevel)
}

// Guards against a file that is accepted although a value is invalid, and against an
// error that does not name the field, the value and what is expected.
func TestParseErrors(t *testing.T) {
	cases := []struct{ from, to, want string }{
		{`"region"`, `"Region"`, "Region: unknown field: want one of node_id"},
		{`"seeds"`, `"region": "de", "seeds"`, "region: given twice"},
		{`"timeout": "1s"`, `"timeout": 1`, "platform.timeout: 1: want a duration from 10ms to 1m"},
		{`"timeout": "1s"`, `"timeout": "1 second"`, `platform.timeout: "1 second": want a duration`},
		{`"shutdown_limit": "10m"`, `"shutdown_limit": "1s"`, `shutdown_limit: "1s": want a duration from 3s to 24h`},
		{`"node_id": "search-1", `, ``, "node_id: missing: want text"},
		{`"search-1"`, `"search 1"`, `node_id: "search 1": want 1 to 63`},
		{`127.0.0.1:8082`, `localhost:8082`, `listen.peer: "localhost:8082": want an IP address`},
		{`127.0.0.1:8083`, `0.0.0.0:8083`, "listen.gossip: \"0.0.0.0:8083\": want an address that other nodes can reach"},
		{`127.0.0.1:8081`, `10.0.0.1:8081`, "listen.loopback: \"10.0.0.1:8081\": want a loopback address"},
		{`127.0.0.1:8084`, `127.0.0.1:8080`, "an address other than that of listen.caller"},
		{`"platform"`, `"advertise": {"peer": "proxy:1"}, "platform"`, `advertise.peer: "proxy:1": want an IP address`},
		{`127.0.0.1:8183`, `127.0.0.1`, `seeds[0]: "127.0.0.1": want`},
		{`["127.0.0.1:8183"]`, `"127.0.0.1:8183"`, "seeds: \"127.0.0.1:8183\": want a list"},
		{`"full"`, `"half"`, `policy: "half": want full or none`},
		{`"info"`, `"loud"`, `log_level: "loud": want debug`},
		{`http://127.0.0.1:8090`, `127.0.0.1:8090`, "platform.url"},
		{`"otlp_endpoint": ""`, `"otlp_endpoint": "x"`, "trace.otlp_endpoint"},
		{`{"otlp_endpoint": ""}`, `[]`, "trace: []: want an object"},
		{`}}`, `}} x`, "not JSON"},
	}
	for _, c := range cases {
		_, err := Parse("node.json", []byte(strings.Replace(example, c.from, c.to, 1)))
		assert.ErrorContains(t, err, c.want, c.to)
		assert.Equal(t, resultcode.From(err).Code, resultcode.SettingsInvalid)
	}
}

// Guards against a parser that stops at the first problem or reports one value
// twice.
func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse("node.json", []byte(`{"node_id": 5, "region": "ro", "failure_domain": "A", "extra": 1,
		"listen": {"caller": "127.0.0.1:1"}, "policy": "half", "shutdown_limit": "5"}`))
	text := err.Error()
	for _, path := range []string{"node_id", "failure_domain", "extra", "listen.peer", "policy", "shutdown_limit"} {
		assert.Equal(t, strings.Count(text, "\n  "+path+":"), 1, "%s in\n%s", path, text)
	}
}

// Guards against a document that crashes the parser, and against a document that is
// accepted although required values are missing.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(`{"listen":{"caller":[]},"seeds":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := Parse("node.json", data)
		if err == nil && (config.NodeID == "" || config.Listen.Peer == "" || config.Platform.Timeout <= 0) {
			t.Fatalf("accepted an incomplete configuration: %+v", config)
		}
		if err != nil && resultcode.From(err).Code != resultcode.SettingsInvalid {
			t.Fatalf("error without code SettingsInvalid: %v", err)
		}
	})
}
