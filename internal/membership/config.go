package membership

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// Config describes one node and the timing of the protocol. Zero durations and
// counts take the defaults named at each field.
type Config struct {
	// ID is unique in the fleet and stays the same over restarts.
	ID string
	// Incarnation orders the processes that use one ID; default the start time
	// in unix nanoseconds.
	Incarnation           uint64
	Region, FailureDomain string
	Addresses             Addresses
	// Seeds are gossip addresses of other nodes.
	Seeds []string
	// Store is where seed entries are kept; nil turns them off.
	Store platform.Store
	// Client returns a client for a peer address.
	Client func(address string) peerv1.PeerServiceClient
	// OnReplaced is called once when another process with this ID and a higher
	// incarnation is known. It may be nil.
	OnReplaced func(Member)
	Logger     zerolog.Logger
	// RandomSeed makes the random choices repeatable; zero takes a random one.
	RandomSeed uint64

	// ProbeInterval is the time between two probes; default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait before indirect probes start; default 300 ms.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe; default 3.
	IndirectProbes int
	// GossipInterval is the time between rounds of updates; default 200 ms. No
	// round is sent while there is nothing new.
	GossipInterval time.Duration
	// GossipFanout is the number of packets in one round; default 3.
	GossipFanout int
	// GossipBytesPerSecond bounds the updates sent; default 8192.
	GossipBytesPerSecond int
	// RetransmitFactor times the decimal logarithm of the fleet size, plus 4, is
	// how often a node passes on one update; default 4.
	RetransmitFactor int
	// SuspicionFactor times the decimal logarithm of the fleet size, in probe
	// intervals, is how long a suspect may refute; default 2.
	SuspicionFactor int
	// SyncInterval is the time between two anti-entropy rounds; default 10 s.
	SyncInterval time.Duration
	// SyncTimeout bounds one anti-entropy RPC; default 5 s.
	SyncTimeout time.Duration
	// SyncMembers bounds the records in one ordinary anti-entropy response, give
	// or take one bucket; default 512.
	SyncMembers int
	// TombstoneTTL is how long dead and left members are remembered; default 1 h.
	TombstoneTTL time.Duration
	// PauseThreshold is how long a node may be without any input before it takes
	// its view as stale; default 3 s.
	PauseThreshold time.Duration
	// JoinJitter spreads the first join attempt; default 500 ms.
	JoinJitter time.Duration
	// JoinInterval is the time between join attempts while alone; default 1 s.
	JoinInterval time.Duration
	// JoinAttempts without a response make a node act on its own; default 3.
	JoinAttempts int
	// ReconnectInterval is the time between attempts to reach a dead member or
	// an unknown seed; default 10 s.
	ReconnectInterval time.Duration
	// LeaveTimeout bounds how long Leave repeats its notice; default 2 s.
	LeaveTimeout time.Duration
	// SeedInterval is the time between two looks of a seed keeper at the seed
	// entries, and the least time between two of its writes; default 1 min.
	SeedInterval time.Duration
	// SeedBackoff is the first wait between two reads of the seed entries by a
	// node that knows nobody; it doubles up to SeedInterval; default 1 s.
	SeedBackoff time.Duration
	// StoreTimeout bounds one call to the store; default 2 s.
	StoreTimeout time.Duration
}

func (c Config) withDefaults(now time.Time) Config {
	if c.Incarnation == 0 {
		c.Incarnation = uint64(now.UnixNano())
	}
	setDuration(&c.ProbeInterval, time.Second)
	setDuration(&c.ProbeTimeout, 300*time.Millisecond)
	setCount(&c.IndirectProbes, 3)
	setDuration(&c.GossipInterval, 200*time.Millisecond)
	setCount(&c.GossipFanout, 3)
	setCount(&c.GossipBytesPerSecond, 8192)
	setCount(&c.RetransmitFactor, 4)
	setCount(&c.SuspicionFactor, 2)
	setDuration(&c.SyncInterval, 10*time.Second)
	setDuration(&c.SyncTimeout, 5*time.Second)
	setCount(&c.SyncMembers, 512)
	setDuration(&c.TombstoneTTL, time.Hour)
	setDuration(&c.PauseThreshold, 3*time.Second)
	setDuration(&c.JoinJitter, 500*time.Millisecond)
	setDuration(&c.JoinInterval, time.Second)
	setCount(&c.JoinAttempts, 3)
	setDuration(&c.ReconnectInterval, 10*time.Second)
	setDuration(&c.LeaveTimeout, 2*time.Second)
	setDuration(&c.SeedInterval, time.Minute)
	setDuration(&c.SeedBackoff, time.Second)
	setDuration(&c.StoreTimeout, 2*time.Second)
	return c
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

func (c Config) validate() error {
	switch {
	case c.ID == "" || len(c.ID) > maxNameBytes:
		return errors.Errorf("membership: id %q has to be 1 to %d bytes", c.ID, maxNameBytes)
	case c.FailureDomain == "" || len(c.FailureDomain) > maxNameBytes:
		return errors.Errorf("membership: failure domain %q has to be 1 to %d bytes", c.FailureDomain, maxNameBytes)
	case c.Addresses.Gossip == "":
		return errors.New("membership: the gossip address is empty")
	case c.Addresses.Peer == "":
		return errors.New("membership: the peer address is empty")
	case c.Client == nil:
		return errors.New("membership: no peer client")
	case c.ProbeTimeout >= c.ProbeInterval:
		return errors.Errorf("membership: probe timeout %s has to be below the probe interval %s", c.ProbeTimeout, c.ProbeInterval)
	case c.PauseThreshold <= c.ProbeInterval:
		return errors.Errorf("membership: pause threshold %s has to be above the probe interval %s", c.PauseThreshold, c.ProbeInterval)
	}
	return nil
}

// minRetransmits is added to the logarithmic part. With c transmissions by each
// node to random targets a share of e^-c is missed; in a fleet of 28, 6 left one
// drain in 40 to anti-entropy, 6.7 s late.
const minRetransmits = 4

// retransmits returns how often an update is passed on in a fleet of n.
func (c Config) retransmits(n int) int {
	return minRetransmits + int(math.Ceil(float64(c.RetransmitFactor)*math.Log10(float64(max(n, 2)+1))))
}

// suspicion returns how long a suspect may refute in a fleet of n. It grows with
// the time that an update takes to reach everyone.
func (c Config) suspicion(n int) time.Duration {
	scale := math.Max(1, math.Log10(float64(max(n, 1))))
	return time.Duration(float64(c.SuspicionFactor) * scale * float64(c.ProbeInterval))
}
