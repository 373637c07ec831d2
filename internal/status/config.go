// Package status publishes a summary of every node in the platform's store: each
// node pushes its summary to the two reporters of its failure domain, which write
// one object for the whole failure domain.
package status

import (
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// Members is the subset of membership.Memberlist that a Reporter uses.
type Members interface {
	Holds(membership.Role) bool
	Holders(role membership.Role, failureDomain string) []membership.Member
	DomainSize(failureDomain string) int
	Self() membership.Member
}

// Config configures a Reporter. Zero durations and counts take the defaults named at
// each field.
type Config struct {
	// Store is the platform's store; with nil the Reporter sends summaries but writes
	// no reports.
	Store   platform.Store
	Members Members
	// Client returns a client for a peer address.
	Client func(address string) peerv1.PeerServiceClient
	// LocalSummary returns this node's summary; the Reporter fills in identity and
	// time.
	LocalSummary func() Summary
	Logger       zerolog.Logger
	// RandomSeed makes jitter reproducible; zero takes a random seed.
	RandomSeed uint64

	// Interval is the shortest time, before jitter, between two summaries of a node
	// and between two writes of a reporter; default 10 s.
	Interval time.Duration
	// NodesPerInterval is the size of a failure domain up to which its nodes send
	// every Interval; those of a larger one send proportionally less often; default
	// 200.
	NodesPerInterval int
	// PushTimeout bounds one push; default 2 s.
	PushTimeout time.Duration
	// StoreTimeout bounds one call to the store; default 2 s.
	StoreTimeout time.Duration
	// MaxBackoff bounds the wait, before jitter, after failed writes; default 2 min.
	MaxBackoff time.Duration
	// MaxBytes is the maximum length of one encoded report; default half of the longest
	// value that the store accepts.
	MaxBytes int
}

func (c Config) withDefaults() Config {
	setDuration(&c.Interval, 10*time.Second)
	setDuration(&c.PushTimeout, 2*time.Second)
	setDuration(&c.StoreTimeout, 2*time.Second)
	setDuration(&c.MaxBackoff, 2*time.Minute)
	if c.NodesPerInterval == 0 {
		c.NodesPerInterval = 200
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = platform.MaxValueBytes / 2
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.Members == nil:
		return errors.New("status: Config.Members is nil: want the member list")
	case c.Client == nil:
		return errors.New("status: Config.Client is nil: want a function that returns peer clients")
	case c.LocalSummary == nil:
		return errors.New("status: Config.LocalSummary is nil: want a function that returns the node's summary")
	case c.MaxBytes > platform.MaxValueBytes:
		return errors.Errorf("status: Config.MaxBytes of %d exceeds the store's limit: want at most %d bytes", c.MaxBytes, platform.MaxValueBytes)
	}
	return nil
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
