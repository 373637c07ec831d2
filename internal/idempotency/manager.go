package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// tickPeriod is how often a Manager checks for due lease renewals and reports, and how
// often it calls maintain. It is a small fraction of leaseRenewalPeriod, so that a renewal
// is sent at most slightly late.
const tickPeriod = 200 * time.Millisecond

// Manager maintains this node's ownership of one service's keys. It joins the members,
// renews leases and sends reports only while Run is running.
type Manager struct {
	config Config
	editor *platform.Editor
	// wake makes the loop of Run check for due lease renewals and reports immediately. It
	// does not affect when maintain is called.
	wake chan struct{}
	// recordToken holds a token while no goroutine reads or writes the record on the
	// platform.
	recordToken chan struct{}

	// mu guards the fields below except joinRequestsSent.
	mu   sync.Mutex
	core *core
	// renewals holds the state of the lease renewals to each other member.
	renewals map[Identity]*leaseRenewal
	// joinRequests holds the latest join request of each process.
	joinRequests map[Identity]joinRequest
	changeTimer  changeTimer
	reports      *reportQueue
	// backoff spaces the calls to the platform while they fail. rereadBackoff spaces the
	// reads of the record that takeRereadTurn permits.
	backoff, rereadBackoff platformBackoff
	stats                  Stats
	// leaving is set by Leave. While it is set, this node sends no join requests, accepts
	// none, and changes the record only in order to leave; a pending proposal is still sent.
	leaving bool
	// behind is set when another member knows a newer epoch, until the record is read.
	behind bool
	// joinRequestsSent selects the target of the next join request. Only the holder of
	// the record token uses it.
	joinRequestsSent int
	// lastProvable is the latest time, as far as it was checked, at which this process
	// could grant keys issued at that time, in unix milliseconds. Before the first such
	// time, it is when the Manager was created.
	lastProvable int64
	// nextJoin is when the next step towards membership is due, in unix milliseconds.
	nextJoin int64
}

var _ Guard = (*Manager)(nil)

// NewManager returns a Manager. It makes no calls before Run.
func NewManager(c Config) *Manager {
	c = c.withDefaults()
	m := &Manager{
		config:      c,
		editor:      &platform.Editor{Store: c.Store, WriteID: writeIDOf},
		wake:        make(chan struct{}, 1),
		recordToken: make(chan struct{}, 1),
		core: newCore(coreConfig{
			self: c.Self, window: c.Window, isolationLimit: c.IsolationLimit, maxKeys: c.MaxKeys,
		}),
		renewals:     make(map[Identity]*leaseRenewal),
		joinRequests: make(map[Identity]joinRequest),
		reports:      newReportQueue(c.MaxReports),
	}
	m.lastProvable = m.now()
	m.recordToken <- struct{}{}
	return m
}

// Configure applies new values of the settings key_window and isolation_limit.
func (m *Manager) Configure(window, isolationLimit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.config.window = window
	m.core.config.isolationLimit = isolationLimit
}

// Run makes this node a member of the service's ownership record, once there are fewer
// than MaxMembers members, and maintains the ownership until ctx ends. It returns after
// all of its calls have completed.
func (m *Manager) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { m.runPeriodically(ctx, func() { m.maintain(ctx) }) })
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		m.renewLeases(ctx, &group)
		m.sendReports(ctx, &group)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// runPeriodically calls step immediately and then once per tick until ctx ends.
func (m *Manager) runPeriodically(ctx context.Context, step func()) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		step()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Ready reports whether this node can grant keys issued now as their owner.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.grantLimit() > m.now()
}

// now returns the node's wall clock in unix milliseconds.
func (m *Manager) now() int64 {
	return m.config.Now().UnixMilli()
}

func (m *Manager) self() Identity {
	return m.config.Self.Identity
}

// adopt replaces the current record by a newer stored one. When the newest epoch
// changed, it resets the change timer and triggers the renewal of the leases. A nil
// record changes nothing. The caller holds mu.
func (m *Manager) adopt(r *Record) {
	if r == nil {
		return
	}
	changed, err := m.core.adopt(r)
	if err != nil {
		m.handleViolation(err)
	}
	if !changed {
		return
	}
	m.changeTimer = changeTimer{}
	newest := r.Newest()
	m.config.Log.Info().Str("service", r.Service).Uint64("epoch", newest.Number).
		Int("members", len(newest.Members)).Bool("member", m.core.isMember()).
		Msg("ownership epoch changed")
	m.pruneRenewals(newest)
	m.signal()
}

// handleViolation counts and logs the violation of an invariant of the protocol and
// passes it to OnViolation. The caller holds mu.
func (m *Manager) handleViolation(err error) {
	m.stats.Violations++
	m.config.Log.Error().Err(err).Msg("ownership invariant violated")
	m.config.OnViolation(err)
}

// signal makes the loop of Run check for due lease renewals and reports immediately.
func (m *Manager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// live returns the live processes of the service by identity, including this one.
func (m *Manager) live() map[Identity]Member {
	members := make(map[Identity]Member)
	for _, message := range m.config.Live() {
		member := memberFromProto(message)
		members[member.Identity] = member
	}
	members[m.self()] = m.config.Self
	return members
}

func (m *Manager) client(member Member) peerv1.PeerServiceClient {
	return m.config.Peer(member.Address)
}

// sleepTick waits for one tick. It returns false when ctx ends first.
func sleepTick(ctx context.Context) bool {
	return sleep(ctx, tickPeriod)
}
