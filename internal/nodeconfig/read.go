package nodeconfig

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// Allowed ranges of durations in the file.
const (
	minPlatformTimeout = 10 * time.Millisecond
	maxPlatformTimeout = time.Minute
	minShutdownLimit   = 3 * time.Second
	maxShutdownLimit   = 24 * time.Hour
)

// read replaces the defaults in c by the values of the document. It records missing and
// unknown members, values of a wrong type and durations out of range as problems;
// validate checks the other values.
func (c *Config) read(document strictjson.Node) {
	object, ok := document.Object("node_id", "region", "failure_domain", "listen", "advertise", "platform",
		"seeds", "policy", "shutdown_limit", "log_level", "trace")
	if !ok {
		return
	}
	c.NodeID = requireText(object, "node_id")
	c.Region = requireText(object, "region")
	c.FailureDomain = requireText(object, "failure_domain")
	if node, ok := object.Require("listen", "an object with caller, loopback, peer, gossip and admin"); ok {
		c.Listen.read(node)
	}
	if node, ok := object.Get("advertise"); ok {
		c.readAdvertise(node)
	}
	if node, ok := object.Get("platform"); ok {
		c.Platform.read(node)
	}
	if node, ok := object.Get("seeds"); ok {
		c.Seeds = readTexts(node)
	}
	if node, ok := object.Get("shutdown_limit"); ok {
		c.ShutdownLimit, _ = node.Duration(minShutdownLimit, maxShutdownLimit)
	}
	if text, ok := optionalText(object, "policy"); ok {
		c.Policy = Policy(text)
	}
	if text, ok := optionalText(object, "log_level"); ok && text != "" {
		c.LogLevel = text
	}
	if node, ok := object.Get("trace"); ok {
		c.readTrace(node)
	}
}

func (c *Config) readAdvertise(node strictjson.Node) {
	if object, ok := node.Object("peer"); ok {
		c.AdvertisePeer = requireText(object, "peer")
	}
}

func (c *Config) readTrace(node strictjson.Node) {
	if object, ok := node.Object("otlp_endpoint"); ok {
		c.OTLPEndpoint, _ = optionalText(object, "otlp_endpoint")
	}
}

func (l *Listen) read(node strictjson.Node) {
	object, ok := node.Object("caller", "loopback", "peer", "gossip", "admin")
	if !ok {
		return
	}
	for _, field := range l.fields() {
		*field.address = requireText(object, field.name)
	}
}

func (p *Platform) read(node strictjson.Node) {
	object, ok := node.Object("url", "timeout")
	if !ok {
		return
	}
	p.URL, _ = optionalText(object, "url")
	if node, ok := object.Get("timeout"); ok {
		p.Timeout, _ = node.Duration(minPlatformTimeout, maxPlatformTimeout)
	}
}

func requireText(object strictjson.Object, name string) string {
	node, ok := object.Require(name, "text in quotes")
	if !ok {
		return ""
	}
	text, _ := node.Text()
	return text
}

func optionalText(object strictjson.Object, name string) (string, bool) {
	node, ok := object.Get(name)
	if !ok {
		return "", false
	}
	return node.Text()
}

func readTexts(node strictjson.Node) []string {
	elements, ok := node.List()
	if !ok {
		return nil
	}
	texts := make([]string, 0, len(elements))
	for _, element := range elements {
		text, _ := element.Text()
		texts = append(texts, text)
	}
	return texts
}
