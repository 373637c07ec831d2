package idempotency

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// Defaults of a Manager.
const (
	DefaultWindow         = 10 * time.Minute
	DefaultIsolationLimit = time.Hour
	// DefaultMaxKeys holds the keys of 100 non-idempotent calls a second for the
	// default window in about 15 MB.
	DefaultMaxKeys = 1 << 16
	// DefaultMaxReports bounds the reports that no owner has accepted yet.
	DefaultMaxReports = 1 << 13
	DefaultRPCTimeout = time.Second
	// DefaultMaxMembers bounds the owners of one service. Every pair of members
	// exchanges leases every 2 s, so with hundreds of members the leases would
	// exceed the control traffic allowed per node.
	DefaultMaxMembers = 16
)

// Config configures a Manager. A zero value selects the default in the fields
// that have one.
type Config struct {
	// Service is the service of the upstream on this node's machine.
	Service string
	// Self is this process with the address of its peer listener.
	Self Member
	// Store holds the ownership record. It is the node's rate-limited client of
	// the platform's store.
	Store platform.Store
	// Live returns the members of the service that are alive or suspect and not
	// draining according to membership. It may include this process.
	Live func() []*peerv1.OwnerMember
	// Peer returns a client for the peer listener at an address.
	Peer func(address string) peerv1.PeerServiceClient
	// Now is the node's wall clock. Default time.Now.
	Now func() time.Time
	// Random returns a number in [0,1). Default rand.Float64.
	Random func() float64
	// Window is how long keys are remembered: the setting key_window.
	Window time.Duration
	// IsolationLimit is how long ownership remains valid while the platform is
	// unavailable: the setting isolation_limit.
	IsolationLimit time.Duration
	// MaxKeys bounds the keys remembered.
	MaxKeys int
	// MaxReports bounds the reports that no owner has accepted yet.
	MaxReports int
	// RPCTimeout bounds each call to a peer node or to the platform.
	RPCTimeout time.Duration
	// MaxMembers bounds the owners. The other nodes of the service acquire keys
	// from them.
	MaxMembers int
	Log        zerolog.Logger
	// OnViolation is called when an invariant of the protocol does not hold. The
	// Manager logs the violation in any case.
	OnViolation func(error)
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.IsolationLimit == 0 {
		c.IsolationLimit = DefaultIsolationLimit
	}
	if c.MaxKeys == 0 {
		c.MaxKeys = DefaultMaxKeys
	}
	if c.MaxReports == 0 {
		c.MaxReports = DefaultMaxReports
	}
	if c.RPCTimeout == 0 {
		c.RPCTimeout = DefaultRPCTimeout
	}
	if c.MaxMembers == 0 {
		c.MaxMembers = DefaultMaxMembers
	}
	if c.OnViolation == nil {
		c.OnViolation = func(error) {}
	}
	return c
}
