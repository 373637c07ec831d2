// Package nodeconfig reads the daemon's settings file: the node's identity, the
// addresses it listens on and how it reaches the platform and its peers. Settings
// that operators change while the fleet runs are in package settings.
package nodeconfig

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// Policy selects how much of the overload control is on.
type Policy string

// Policies.
const (
	// PolicyFull turns the whole overload control on.
	PolicyFull Policy = "full"
	// PolicyNone is the baseline that measurements compare with: round robin, no
	// admission control, three retries at each hop.
	PolicyNone Policy = "none"
)

// Defaults of optional fields.
const (
	DefaultPolicy          = PolicyFull
	DefaultLogLevel        = "info"
	DefaultPlatformTimeout = time.Second
	DefaultShutdownLimit   = 10 * time.Minute
)

// Listen holds the addresses that the node listens on, each an IP address with a
// port; port 0 lets the system choose one.
type Listen struct {
	// Caller serves callers from outside the fleet, Loopback the node's own upstream,
	// Peer the other nodes and Admin the operators; all four are TCP addresses. Gossip
	// is the UDP address of the membership protocol.
	Caller, Loopback, Peer, Gossip, Admin string
}

// Platform configures the access to the platform's object API.
type Platform struct {
	// URL is an http or https URL with a host; empty runs the node without a
	// platform.
	URL string
	// Timeout bounds one request other than a watch.
	Timeout time.Duration
}

// Config is the validated content of the settings file, with defaults filled in.
type Config struct {
	NodeID, Region, FailureDomain string
	Listen                        Listen
	// AdvertisePeer is the peer address announced to other nodes, for a node behind
	// a proxy; empty means that of the peer listener.
	AdvertisePeer string
	Platform      Platform
	// Seeds are gossip addresses of other nodes, which the node uses in addition to those
	// in the platform's store, so that it can join while the platform is unavailable.
	Seeds  []string
	Policy Policy
	// ShutdownLimit is the timeout of a graceful shutdown.
	ShutdownLimit time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// OTLPEndpoint is the URL to which traces are exported over HTTP; empty turns
	// tracing off.
	OTLPEndpoint string
}

// Load reads and validates a settings file. A file that cannot be read gives a Usage
// error; the errors of its content are those of Parse.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, resultcode.Wrap(errors.WithStack(err), resultcode.Usage, "settings file %q: want a readable file", path)
	}
	return Parse(path, data)
}

// Parse reads and validates the content of a settings file. The name appears in
// error messages. All problems are reported in one SettingsInvalid error.
func Parse(name string, data []byte) (Config, error) {
	var problems strictjson.Problems
	config := defaults()
	if document, ok := strictjson.Parse(data, &problems); ok {
		config.read(document)
		config.validate(&problems)
	}
	if err := problems.Err(name); err != nil {
		return Config{}, err
	}
	return config, nil
}

func defaults() Config {
	return Config{
		Platform:      Platform{Timeout: DefaultPlatformTimeout},
		Policy:        DefaultPolicy,
		ShutdownLimit: DefaultShutdownLimit,
		LogLevel:      DefaultLogLevel,
	}
}
