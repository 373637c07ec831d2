package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
)

// tickPeriod is how often a Manager looks for due work. It is a fraction of the
// lease period, so that a renewal is not late by much.
const tickPeriod = 200 * time.Millisecond

// Manager keeps this node's part in the ownership of one service's keys. Run
// must be running for it to join, renew leases and deliver reports.
type Manager struct {
	config Config
	editor *platform.Editor
	wake   chan struct{}
	// recordToken holds a token while nobody reads or writes the record.
	recordToken chan struct{}

	mu      sync.Mutex
	core    *core
	renewals   map[Identity]*leaseRenewal
	joinRequests   map[Identity]joinRequest
	changeTimer  changeTimer
	reports *reportQueue
	// backoff spaces the calls to a platform that fails, rereadBackoff those of a member
	// that cannot prove its ownership.
	backoff, rereadBackoff platformBackoff
	stats          Stats
	// leaving stops joining and changing the record for other reasons.
	leaving bool
	// behind is set when another member knows a newer epoch.
	behind bool
	// joinRequestsSent counts tries to join since the last success.
	joinRequestsSent int
	// lastProvable is when ownership could last be proved, in unix milliseconds.
	lastProvable int64
	nextJoin int64
}

var _ Guard = (*Manager)(nil)

// NewManager returns a Manager; it makes no call before Run.
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
		renewals:   make(map[Identity]*leaseRenewal),
		joinRequests:   make(map[Identity]joinRequest),
		reports: newReportQueue(c.MaxReports),
	}
	m.lastProvable = m.now()
	m.recordToken <- struct{}{}
	return m
}

// Configure takes new values of key_window and isolation_limit.
func (m *Manager) Configure(window, isolationLimit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.config.window = window
	m.core.config.isolationLimit = isolationLimit
}

// Run joins the service's ownership and keeps it until ctx ends. It returns
// after its calls have ended.
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

// Ready reports whether this node can grant keys issued now.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.grantLimit() > m.now()
}

// now returns unix milliseconds of the node's clock.
func (m *Manager) now() int64 {
	return m.config.Now().UnixMilli()
}

func (m *Manager) self() Identity {
	return m.config.Self.Identity
}

// adopt takes a record in force and has the leases renewed at once when the
// epoch changed. The caller holds mu.
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

func (m *Manager) handleViolation(err error) {
	m.stats.Violations++
	m.config.Log.Error().Err(err).Msg("ownership invariant violated")
	m.config.OnViolation(err)
}

// signal has the lease loop run at once.
func (m *Manager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// live returns the members alive by identity, this process included.
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

// sleepTick waits one tick; it is false when ctx has ended.
func sleepTick(ctx context.Context) bool {
	return sleep(ctx, tickPeriod)
}
