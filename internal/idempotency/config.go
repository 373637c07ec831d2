package idempotency

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// Defaults of the Config fields with the same names.
const (
	DefaultWindow         = 10 * time.Minute
	DefaultIsolationLimit = time.Hour
	// DefaultMaxKeys suffices for 100 non-idempotent calls a second over the default
	// window. Their keys take about 15 MB.
	DefaultMaxKeys    = 1 << 16
	DefaultMaxReports = 1 << 13
	DefaultRPCTimeout = time.Second
	// DefaultMaxMembers is low because every pair of members exchanges leases every
	// 2 s: with hundreds of members the leases would exceed the control traffic
	// allowed per node.
	DefaultMaxMembers = 16
)

// Config configures a Manager. A zero value selects the default in the fields
// that have one. A member is a process that owns a share of the service's keys; a
// live process that is not a member acquires keys from the members.
type Config struct {
	// Service is the service of the upstream on this node's machine.
	Service string
	// Self is the identity of this process and the address of its peer listener.
	Self Member
	// Store is the platform's store, which holds the ownership record, through the
	// node's rate-limited client.
	Store platform.Store
	// Live returns the processes of the service's nodes that are alive or suspect
	// and not draining according to membership. The result may include this process.
	Live func() []*peerv1.OwnerMember
	// Peer returns an RPC client for the peer listener at an address.
	Peer func(address string) peerv1.PeerServiceClient
	// Now is the node's wall clock. Default time.Now.
	Now func() time.Time
	// Random returns a number in [0,1). Default rand.Float64.
	Random func() float64
	// Window is the key window, from the setting key_window: how long after its issue
	// time a key is remembered. Older keys are refused.
	Window time.Duration
	// IsolationLimit bounds how long ownership remains valid while the platform is
	// unavailable, from the setting isolation_limit.
	IsolationLimit time.Duration
	// MaxKeys bounds the keys that this process remembers as an owner. When there are
	// more, the oldest ones are forgotten and then refused.
	MaxKeys int
	// MaxReports bounds the reports of outcomes that no owner has acknowledged yet.
	MaxReports int
	// RPCTimeout bounds each call to a peer node, each read of the record and each attempt
	// to write it.
	RPCTimeout time.Duration
	// MaxMembers bounds the members.
	MaxMembers int
	Log        zerolog.Logger
	// OnViolation is called when an invariant of the protocol does not hold. It may
	// be nil and must not call the Manager, which logs the violation in any case.
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
