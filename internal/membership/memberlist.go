package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// Memberlist runs the membership protocol of one node. All methods are safe for
// concurrent use.
type Memberlist struct {
	cfg       Config
	transport Transport

	// mu guards core and stats.
	mu    sync.Mutex
	core  *core
	stats Stats

	wake     chan struct{}
	dispatch *dispatcher
	syncSlot chan struct{}
	cancel   context.CancelFunc
	running  context.Context
	group    sync.WaitGroup
	seeds    seedKeeper
}

// New checks the configuration and returns a node that is not running yet. The
// node owns the transport.
func New(cfg Config, transport Transport) (*Memberlist, error) {
	now := time.Now()
	cfg = cfg.withDefaults(now)
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	seed := cfg.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	rng := rand.New(rand.NewPCG(seed, bucketSeed(cfg.ID)))
	running, cancel := context.WithCancel(context.Background())
	m := &Memberlist{
		cfg:       cfg,
		transport: transport,
		core:      newCore(cfg, now, rng),
		wake:      make(chan struct{}, 1),
		dispatch:  newDispatcher(),
		syncSlot:  make(chan struct{}, maxServedSyncs),
		cancel:    cancel,
		running:   running,
	}
	m.seeds = seedKeeper{list: m, rng: rand.New(rand.NewPCG(seed, 1+bucketSeed(cfg.ID)))}
	return m, nil
}

// Start begins to join the fleet. It returns at once.
func (m *Memberlist) Start() {
	m.group.Go(m.run)
	m.group.Go(func() { m.dispatch.run(m.running) })
	if m.cfg.Store != nil {
		m.group.Go(func() { m.seeds.run(m.running) })
	}
}

// Close stops the node without notice, as a crash would.
func (m *Memberlist) Close() error {
	m.cancel()
	err := m.transport.Close()
	m.group.Wait()
	return err
}

// Members returns all known records including this node's own, sorted by ID.
// Dead and left members are included until their tombstones expire.
func (m *Memberlist) Members() []Member {
	m.mu.Lock()
	list := make([]Member, 0, len(m.core.table.byID)+1)
	list = append(list, m.core.self)
	for _, e := range m.core.table.byID {
		list = append(list, e.Member)
	}
	m.mu.Unlock()
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Member returns the record of one member.
func (m *Memberlist) Member(id string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id == m.core.self.ID {
		return m.core.self, true
	}
	if e := m.core.table.get(id); e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Self returns this node's own record.
func (m *Memberlist) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.self
}

// Fresh reports whether the view was compared with a peer since the start or the
// last pause. A node acts in a role only while its view is fresh.
func (m *Memberlist) Fresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.isFresh(time.Now())
}

// RandomPeers returns up to n live members in random order.
func (m *Memberlist) RandomPeers(n int) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []Member
	for _, e := range m.core.table.pick(m.core.rng, n, func(e *entry) bool { return e.State != Alive }) {
		peers = append(peers, e.Member)
	}
	return peers
}

// Subscribe calls f for each later change, in order, one call at a time. f may
// call methods of the Memberlist.
func (m *Memberlist) Subscribe(f func(Event)) {
	m.dispatch.subscribe(f)
}

// SubscribeRevisions calls f when a peer has a higher settings revision in force
// than this node.
func (m *Memberlist) SubscribeRevisions(f func(peer Member, revision int64)) {
	m.dispatch.subscribeRevisions(f)
}

// UpdateLocal changes what this node announces and sends it at once.
func (m *Memberlist) UpdateLocal(change func(*Metadata)) {
	m.mu.Lock()
	m.core.updateLocal(time.Now(), change)
	m.mu.Unlock()
	m.poke()
}

// Leave tells the fleet that this node goes away for good and returns when the
// notice was sent as often as any update, or after LeaveTimeout. The node takes
// no further part; Close still has to be called.
func (m *Memberlist) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.core.leave(time.Now())
	m.mu.Unlock()
	m.poke()
	ctx, cancel := context.WithTimeout(ctx, m.cfg.LeaveTimeout)
	defer cancel()
	ticker := time.NewTicker(m.cfg.GossipInterval / 4)
	defer ticker.Stop()
	for {
		if m.noticeSent() {
			break
		}
		select {
		case <-ctx.Done():
			m.depart()
			return errors.Wrap(ctx.Err(), "membership: leave notice")
		case <-ticker.C:
		}
	}
	m.depart()
	return nil
}

func (m *Memberlist) noticeSent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.leaveSent() && len(m.core.out.sends) == 0
}

func (m *Memberlist) depart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.departed()
}

// Stats returns the counters.
func (m *Memberlist) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.core.stats
	stats.PacketsSent = m.stats.PacketsSent
	stats.PacketsReceived = m.stats.PacketsReceived
	stats.BytesSent = m.stats.BytesSent
	stats.BytesReceived = m.stats.BytesReceived
	stats.MalformedPackets = m.stats.MalformedPackets
	stats.StoreReads = m.stats.StoreReads
	stats.StoreWrites = m.stats.StoreWrites
	return stats
}

func (m *Memberlist) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run is the only goroutine that sends packets and starts syncs.
func (m *Memberlist) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.running.Done():
			return
		case datagram, ok := <-m.transport.Packets():
			if !ok {
				return
			}
			m.receive(datagram)
		case <-m.wake:
			timer.Reset(0)
		case <-timer.C:
			timer.Reset(m.tick())
		}
		m.flush()
	}
}

func (m *Memberlist) tick() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.core.tick(time.Now())
	return time.Until(next)
}

func (m *Memberlist) receive(datagram Datagram) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.PacketsReceived++
	m.stats.BytesReceived += uint64(len(datagram.Payload))
	packet := &peerv1.Packet{}
	if err := proto.Unmarshal(datagram.Payload, packet); err != nil {
		m.stats.MalformedPackets++
		return
	}
	m.core.receive(time.Now(), datagram.From, packet)
	if len(m.core.queue.sent) > 0 {
		m.poke()
	}
}

// flush carries out what the state machine asked for.
func (m *Memberlist) flush() {
	m.mu.Lock()
	out := m.core.take()
	m.mu.Unlock()
	taken := time.Now()
	m.dispatch.add(out.events, out.revisions)
	for _, s := range out.sends {
		// After a pause in this loop the packets tell old news.
		if time.Since(taken) < m.cfg.PauseThreshold {
			m.send(s)
		}
	}
	for _, target := range out.syncs {
		m.group.Go(func() { m.synchronise(target) })
	}
	if out.replaced != nil {
		m.cfg.Logger.Error().Str("id", m.cfg.ID).Uint64("incarnation", out.replaced.Incarnation).
			Msg("another process uses this node's id")
		if m.cfg.OnReplaced != nil {
			m.cfg.OnReplaced(*out.replaced)
		}
	}
}

func (m *Memberlist) send(s send) {
	payload, err := proto.Marshal(s.packet)
	if err != nil {
		return
	}
	// An unreachable address shows as a missing answer.
	_ = m.transport.Send(s.to, payload)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.PacketsSent++
	m.stats.BytesSent += uint64(len(payload))
}
