// Package settingsync distributes settings revisions from the platform's store to
// every node: two watchers per failure domain watch the store, and all other nodes
// fetch changes from peers.
package settingsync

import (
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// Members is the subset of membership.Memberlist that a Syncer uses.
type Members interface {
	Holds(membership.Role) bool
	RandomPeers(n int) []membership.Member
	UpdateLocal(func(*membership.Metadata))
	SubscribeRevisions(func(peer membership.Member, revision int64))
}

// Config is the configuration of a Syncer. A duration or count of zero selects the
// default stated at the field.
type Config struct {
	// Store is the platform's store; with nil the settings come from peers only.
	Store   platform.Store
	Members Members
	// Client returns a client for a peer address.
	Client func(address string) peerv1.PeerServiceClient
	// Apply is called, for one update at a time, with each update that continues the
	// revision in force.
	Apply  Apply
	Logger zerolog.Logger
	// RandomSeed makes jitter reproducible; zero selects a random seed.
	RandomSeed uint64

	// RoleInterval is the time, before jitter, between two checks of the watcher role
	// and between two rounds of queries to peers at the start; default 1 s.
	RoleInterval time.Duration
	// MinBackoff and MaxBackoff bound the wait, before jitter, after a failed store
	// call, a listing that leaves the revision in force unchanged, or a store version
	// that went backwards; default 1 s and 30 s.
	MinBackoff, MaxBackoff time.Duration
	// ListTimeout bounds one listing; default 5 s.
	ListTimeout time.Duration
	// WatchTimeout bounds one watch and must exceed the store's long-poll time;
	// default 90 s.
	WatchTimeout time.Duration
	// PullTimeout bounds one fetch from a peer; default 2 s.
	PullTimeout time.Duration
	// PullAttempts is the maximum number of attempts to fetch one revision that a peer
	// reports; default 3. An attempt that finds a gap makes a second request, for the
	// whole tree, to the same peer.
	PullAttempts int
	// StartPeers is the number of peers queried in each round at the start; default 3.
	StartPeers int
	// MaxLogChanges and MaxLogBytes bound the changes kept for peers; default 1024
	// and 1 MiB.
	MaxLogChanges, MaxLogBytes int
}

func (c Config) withDefaults() Config {
	setDuration(&c.RoleInterval, time.Second)
	setDuration(&c.MinBackoff, time.Second)
	setDuration(&c.MaxBackoff, 30*time.Second)
	setDuration(&c.ListTimeout, 5*time.Second)
	setDuration(&c.WatchTimeout, 90*time.Second)
	setDuration(&c.PullTimeout, 2*time.Second)
	setCount(&c.PullAttempts, 3)
	setCount(&c.StartPeers, 3)
	setCount(&c.MaxLogChanges, 1024)
	setCount(&c.MaxLogBytes, 1<<20)
	return c
}

func (c Config) validate() error {
	switch {
	case c.Members == nil:
		return errors.New("settingsync: Config.Members is nil: want the member list")
	case c.Client == nil:
		return errors.New("settingsync: Config.Client is nil: want a function that returns peer clients")
	case c.Apply == nil:
		return errors.New("settingsync: Config.Apply is nil: want the function that puts updates in force")
	}
	return nil
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setCount(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
