// Package nodeconfig reads the daemon's settings file: who the node is, where it
// listens and how it finds the platform and its peers. What operators change
// while the fleet runs is in package settings instead.
package nodeconfig

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// Policy says how much of the overload control is on.
type Policy string

// Policies.
const (
	PolicyFull Policy = "full"
	// PolicyNone is the baseline of the measurements: round robin, no admission
	// control, three retries at each hop.
	PolicyNone Policy = "none"
)

// Defaults of optional fields.
const (
	DefaultPolicy          = PolicyFull
	DefaultLogLevel        = "info"
	DefaultPlatformTimeout = time.Second
	DefaultShutdownLimit   = 10 * time.Minute
)

// Listen holds the addresses that the node listens on, each an IP address with
// a port.
type Listen struct {
	// Caller, Loopback, Peer and Admin are TCP; Gossip is UDP.
	Caller, Loopback, Peer, Gossip, Admin string
}

// Platform says where the platform's object API is.
type Platform struct {
	// URL is http or https with a host; empty runs the node without a platform.
	URL string
	// Timeout bounds one request other than a watch.
	Timeout time.Duration
}

// Config is the content of the settings file, checked and with defaults.
type Config struct {
	NodeID, Region, FailureDomain string
	Listen                        Listen
	// AdvertisePeer is the peer address that other nodes are told, for a node
	// behind a proxy; empty means that of the peer listener.
	AdvertisePeer string
	Platform      Platform
	// Seeds are gossip addresses of other nodes, used while the platform does
	// not answer.
	Seeds  []string
	Policy Policy
	// ShutdownLimit bounds a graceful shutdown.
	ShutdownLimit time.Duration
	LogLevel      string
	// OTLPEndpoint is the URL that traces go to over HTTP; empty turns tracing
	// off.
	OTLPEndpoint string
}

// Load reads and checks a settings file.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, resultcode.Wrap(errors.WithStack(err), resultcode.Usage, "settings file %q: want a readable file", path)
	}
	return Parse(path, data)
}

// Parse reads and checks the content of a settings file. The name appears in
// errors. All problems are reported in one SettingsInvalid error.
func Parse(name string, data []byte) (Config, error) {
	var problems strictjson.Problems
	config := provision()
	if document, ok := strictjson.Parse(data, &problems); ok {
		config.read(document)
		config.validate(&problems)
	}
	if err := problems.Err(name); err != nil {
		return Config{}, err
	}
	return config, nil
}

func provision() Config {
	return Config{
		Platform:      Platform{Timeout: DefaultPlatformTimeout},
		Policy:        DefaultPolicy,
		ShutdownLimit: DefaultShutdownLimit,
		LogLevel:      DefaultLogLevel,
	}
}
