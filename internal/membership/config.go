package membership

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// Config describes the local node and the timing of the protocol. Zero durations
// and counts are replaced by the defaults named at each field.
type Config struct {
	// ID is unique in the fleet and stays the same across restarts.
	ID string
	// Incarnation orders the processes that use the same ID; default the start
	// time in unix nanoseconds.
	Incarnation uint64
	// Region may be empty; FailureDomain must not be.
	Region, FailureDomain string
	// Addresses are those at which other nodes reach the local node.
	Addresses Addresses
	// Seeds are gossip addresses of other nodes, which the local node pings to join.
	Seeds []string
	// Store holds the seed objects; with nil none are read or written.
	Store platform.Store
	// Client returns an RPC client for the peer address of another node.
	Client func(address string) peerv1.PeerServiceClient
	// OnReplaced is called once, when the local node learns that another process with
	// this ID and a higher incarnation has replaced it. It may be nil.
	OnReplaced func(Member)
	Logger     zerolog.Logger
	// RandomSeed seeds the random choices, which makes them reproducible; with
	// zero, the seed itself is random.
	RandomSeed uint64

	// ProbeInterval is the time between two probes; default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits for an ack before indirect
	// probes start; default 300 ms. It has to be below ProbeInterval.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe on behalf of the
	// local node; default 3.
	IndirectProbes int
	// GossipInterval is the time between gossip rounds; default 200 ms. No
	// round is sent while there is nothing to disseminate.
	GossipInterval time.Duration
	// GossipFanout is the number of packets in one round; default 3.
	GossipFanout int
	// GossipBytesPerSecond bounds the bytes of queued updates sent per second;
	// default 8192.
	GossipBytesPerSecond int
	// RetransmitFactor times the decimal logarithm of the fleet size, rounded up, plus 4
	// is how often a node sends one update; default 4.
	RetransmitFactor int
	// SuspicionFactor times the decimal logarithm of the fleet size, or times 1 for a
	// smaller logarithm, is how many probe intervals a suspect has to refute before it
	// is declared dead; default 2.
	SuspicionFactor int
	// SyncInterval is the time between two anti-entropy rounds; default 10 s.
	SyncInterval time.Duration
	// SyncTimeout bounds one anti-entropy round, which makes one or two RPCs; default
	// 5 s.
	SyncTimeout time.Duration
	// SyncMembers bounds the records in one response to an anti-entropy round that
	// compares digests; the last bucket may exceed it; default 512.
	SyncMembers int
	// TombstoneTTL is how long the records of dead and left members are kept;
	// default 1 h.
	TombstoneTTL time.Duration
	// PauseThreshold is how long a node may go without any input before it treats
	// its view as stale; default 3 s. It has to be above ProbeInterval.
	PauseThreshold time.Duration
	// JoinJitter bounds the random delay before the first join attempt; default
	// 500 ms.
	JoinJitter time.Duration
	// JoinInterval is the mean time from the first join attempt to the second while
	// the node knows no other live member; the later intervals grow up to tenfold;
	// default 1 s.
	JoinInterval time.Duration
	// JoinAttempts is the number of join attempts without a response after which
	// the node treats itself as the only member; default 3.
	JoinAttempts int
	// ReconnectInterval is the time between attempts to contact a dead member or
	// a seed that is not a live member; default 10 s.
	ReconnectInterval time.Duration
	// LeaveTimeout bounds how long Leave sends its notice; default 2 s.
	LeaveTimeout time.Duration
	// SeedInterval is the minimum time between two reads of the seed objects by a node that
	// holds RoleSeedKeeper, and between two of its writes; jitter adds up to half of it;
	// default 1 min.
	SeedInterval time.Duration
	// SeedBackoff is the mean delay before the first read of the seed objects by a node
	// that knows no other live member; it doubles up to SeedInterval; default 1 s.
	SeedBackoff time.Duration
	// StoreTimeout bounds the reads and the write of the seed objects in one round
	// together; default 2 s.
	StoreTimeout time.Duration
}

func (c Config) withDefaults(now time.Time) Config {
	if c.Incarnation == 0 {
		c.Incarnation = uint64(now.UnixNano())
	}
	setDefaultDuration(&c.ProbeInterval, time.Second)
	setDefaultDuration(&c.ProbeTimeout, 300*time.Millisecond)
	setDefaultCount(&c.IndirectProbes, 3)
	setDefaultDuration(&c.GossipInterval, 200*time.Millisecond)
	setDefaultCount(&c.GossipFanout, 3)
	setDefaultCount(&c.GossipBytesPerSecond, 8192)
	setDefaultCount(&c.RetransmitFactor, 4)
	setDefaultCount(&c.SuspicionFactor, 2)
	setDefaultDuration(&c.SyncInterval, 10*time.Second)
	setDefaultDuration(&c.SyncTimeout, 5*time.Second)
	setDefaultCount(&c.SyncMembers, 512)
	setDefaultDuration(&c.TombstoneTTL, time.Hour)
	setDefaultDuration(&c.PauseThreshold, 3*time.Second)
	setDefaultDuration(&c.JoinJitter, 500*time.Millisecond)
	setDefaultDuration(&c.JoinInterval, time.Second)
	setDefaultCount(&c.JoinAttempts, 3)
	setDefaultDuration(&c.ReconnectInterval, 10*time.Second)
	setDefaultDuration(&c.LeaveTimeout, 2*time.Second)
	setDefaultDuration(&c.SeedInterval, time.Minute)
	setDefaultDuration(&c.SeedBackoff, time.Second)
	setDefaultDuration(&c.StoreTimeout, 2*time.Second)
	return c
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setDefaultCount(n *int, value int) {
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
		return errors.New("membership: the gossip address is empty; it has to be a host and port")
	case c.Addresses.Peer == "":
		return errors.New("membership: the peer address is empty; it has to be a host and port")
	case c.Client == nil:
		return errors.New("membership: Client is nil; it has to return an RPC client for a peer address")
	case c.ProbeTimeout >= c.ProbeInterval:
		return errors.Errorf("membership: probe timeout %s has to be below the probe interval %s", c.ProbeTimeout, c.ProbeInterval)
	case c.PauseThreshold <= c.ProbeInterval:
		return errors.Errorf("membership: pause threshold %s has to be above the probe interval %s", c.PauseThreshold, c.ProbeInterval)
	}
	return nil
}

// minRetransmits is added to the logarithmic term of the retransmission limit. When
// each node sends an update c times to random targets, a fraction of e^-c of the nodes
// misses it. In a fleet of 28 nodes with a limit of 6, one drain update in 40 reached
// all nodes only by anti-entropy, 6.7 s late.
const minRetransmits = 4

// retransmits returns how often a node sends one update in a fleet of n live members.
func (c Config) retransmits(n int) int {
	return minRetransmits + int(math.Ceil(float64(c.RetransmitFactor)*math.Log10(float64(max(n, 2)+1))))
}

// suspicionTimeout returns how long a suspect may refute in a fleet of n live members.
// Like the time that an update takes to reach all nodes, it grows with the logarithm
// of n.
func (c Config) suspicionTimeout(n int) time.Duration {
	scale := math.Max(1, math.Log10(float64(max(n, 1))))
	return time.Duration(float64(c.SuspicionFactor) * scale * float64(c.ProbeInterval))
}
