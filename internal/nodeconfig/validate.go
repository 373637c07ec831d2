package nodeconfig

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// maxSeeds is the maximum number of seeds. It is low so that a whole host inventory
// pasted into the list is noticed.
const maxSeeds = 64

const (
	wantName      = "1 to 63 characters of a-z, 0-9 and -, starting with a letter or digit"
	wantAddress   = "an IP address with a port from 1 to 65535, such as 127.0.0.1:8080"
	wantListen    = "an IP address with a port from 0 to 65535, such as 127.0.0.1:8080"
	wantReachable = "an address that other nodes can reach, not an unspecified one"
	wantURL       = "an http or https URL with a host, such as http://127.0.0.1:8090"
	wantLoopback  = "a loopback address, such as 127.0.0.1:8081, since it is open to the upstream without checks"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var logLevels = map[string]bool{"debug": true, "info": true, "warn": true, "error": true}

type listenField struct {
	// name is the field's name in the file.
	name string
	// network is tcp or udp.
	network string
	// advertised is true for an address at which other nodes reach this node.
	advertised bool
	address    *string
}

func (l *Listen) fields() []listenField {
	return []listenField{
		{"caller", "tcp", false, &l.Caller},
		{"loopback", "tcp", false, &l.Loopback},
		{"peer", "tcp", true, &l.Peer},
		{"gossip", "udp", true, &l.Gossip},
		{"admin", "tcp", false, &l.Admin},
	}
}

func (c *Config) validate(problems *strictjson.Problems) {
	checkName(problems, "node_id", c.NodeID)
	checkName(problems, "region", c.Region)
	checkName(problems, "failure_domain", c.FailureDomain)
	c.Listen.validate(problems)
	if c.AdvertisePeer != "" {
		checkRemote(problems, "advertise.peer", c.AdvertisePeer)
	}
	checkURL(problems, "platform.url", c.Platform.URL)
	checkURL(problems, "trace.otlp_endpoint", c.OTLPEndpoint)
	c.validateSeeds(problems)
	if c.Policy != PolicyFull && c.Policy != PolicyNone {
		problems.AddOnce("policy", quote(string(c.Policy)), "full or none")
	}
	if !logLevels[c.LogLevel] {
		problems.AddOnce("log_level", quote(c.LogLevel), "debug, info, warn or error")
	}
}

// validate reports addresses that are invalid or unsuitable for their listener, and
// two listeners at one address: the second would otherwise fail only when the node
// opens it, after the first already accepts connections.
func (l *Listen) validate(problems *strictjson.Problems) {
	taken := make(map[string]string)
	for _, field := range l.fields() {
		path := "listen." + field.name
		address, err := netip.ParseAddrPort(*field.address)
		if err != nil {
			problems.AddOnce(path, quote(*field.address), wantListen)
			continue
		}
		if field.advertised && address.Addr().IsUnspecified() {
			problems.AddOnce(path, quote(*field.address), wantReachable)
		}
		if field.name == "loopback" && !address.Addr().IsLoopback() {
			problems.AddOnce(path, quote(*field.address), wantLoopback)
		}
		socket := field.network + " " + address.String()
		if other, ok := taken[socket]; ok && address.Port() != 0 {
			problems.AddOnce(path, quote(*field.address), "an address other than that of "+other)
		}
		taken[socket] = path
	}
}

func (c *Config) validateSeeds(problems *strictjson.Problems) {
	if len(c.Seeds) > maxSeeds {
		problems.AddOnce("seeds", fmt.Sprintf("%d addresses", len(c.Seeds)), fmt.Sprintf("at most %d", maxSeeds))
	}
	for i, seed := range c.Seeds {
		checkRemote(problems, fmt.Sprintf("seeds[%d]", i), seed)
	}
}

// checkRemote records a problem unless text is an address at which another node can be
// reached.
func checkRemote(problems *strictjson.Problems, path, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		problems.AddOnce(path, quote(text), wantAddress)
	}
}

func checkName(problems *strictjson.Problems, path, name string) {
	if !namePattern.MatchString(name) {
		problems.AddOnce(path, quote(name), wantName)
	}
}

func checkURL(problems *strictjson.Problems, path, text string) {
	if text == "" {
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Hostname() == "" {
		problems.AddOnce(path, quote(text), wantURL)
	}
}

func quote(text string) string {
	return fmt.Sprintf("%q", text)
}
