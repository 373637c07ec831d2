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
	mu   sync.Mutex
	core *core
	// stats holds the counters of packets and store calls; core has the others.
	stats Stats

	// wake makes run tick without waiting for its timer.
	wake     chan struct{}
	dispatch *dispatcher
	// syncSlots holds one token for each sync that is being served.
	syncSlots chan struct{}
	// cancel ends runCtx and with it all goroutines of group.
	cancel context.CancelFunc
	runCtx context.Context
	group  sync.WaitGroup
	seeds  seedKeeper
}

// New validates the configuration and returns a Memberlist that is not running yet.
// It takes ownership of the transport.
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
	rng := rand.New(rand.NewPCG(seed, idSeed(cfg.ID)))
	runCtx, cancel := context.WithCancel(context.Background())
	m := &Memberlist{
		cfg:       cfg,
		transport: transport,
		core:      newCore(cfg, now, rng),
		wake:      make(chan struct{}, 1),
		dispatch:  newDispatcher(),
		syncSlots: make(chan struct{}, maxServedSyncs),
		cancel:    cancel,
		runCtx:    runCtx,
	}
	m.seeds = seedKeeper{list: m, rng: rand.New(rand.NewPCG(seed, 1+idSeed(cfg.ID)))}
	return m, nil
}

// Start starts the protocol and the join. It returns without waiting for the join.
func (m *Memberlist) Start() {
	m.group.Go(m.run)
	m.group.Go(func() { m.dispatch.run(m.runCtx) })
	if m.cfg.Store != nil {
		m.group.Go(func() { m.seeds.run(m.runCtx) })
	}
}

// Close stops the protocol without a leave notice, as a crash would.
func (m *Memberlist) Close() error {
	m.cancel()
	err := m.transport.Close()
	m.group.Wait()
	return err
}

// Members returns all known records including that of the local node, sorted by ID.
// Dead and left members are included until their tombstones expire.
func (m *Memberlist) Members() []Member {
	m.mu.Lock()
	list := make([]Member, 0, len(m.core.table.byID)+1)
	list = append(list, m.core.self)
	for _, r := range m.core.table.byID {
		list = append(list, r.Member)
	}
	m.mu.Unlock()
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Member returns the record of one member, and false when the ID is unknown.
func (m *Memberlist) Member(id string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id == m.core.self.ID {
		return m.core.self, true
	}
	if r := m.core.table.get(id); r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// Self returns the record of the local node.
func (m *Memberlist) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.self
}

// Fresh reports whether the view was compared with that of a peer since the start or
// the last pause, or the node treats itself as the only member. It returns false once
// another process with a higher incarnation uses the ID of the local node. A node acts in
// a role only while its view is fresh.
func (m *Memberlist) Fresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.isFresh(time.Now())
}

// RandomPeers returns up to n other members in state Alive, in random order.
func (m *Memberlist) RandomPeers(n int) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []Member
	for _, r := range m.core.table.sampleLive(m.core.rng, n, func(r *record) bool { return r.State != Alive }) {
		peers = append(peers, r.Member)
	}
	return peers
}

// Subscribe registers f to be called for each later change of another member's record,
// in order, one call at a time. f may call methods of the Memberlist.
func (m *Memberlist) Subscribe(f func(Event)) {
	m.dispatch.subscribe(f)
}

// SubscribeRevisions registers f to be called when a packet shows that a peer has a higher
// settings revision in force than the local node. Not every such packet causes a call.
func (m *Memberlist) SubscribeRevisions(f func(peer Member, revision int64)) {
	m.dispatch.subscribeRevisions(f)
}

// UpdateLocal calls change with the metadata of the local node and starts to
// disseminate the result. change must not call methods of the Memberlist.
func (m *Memberlist) UpdateLocal(change func(*Metadata)) {
	m.mu.Lock()
	m.core.updateLocal(time.Now(), change)
	m.mu.Unlock()
	m.wakeUp()
}

// Leave disseminates a notice that the local node leaves the fleet for good. It
// returns nil when the notice was sent as often as any update or there is no live member
// to send it to, and an error when ctx or LeaveTimeout ended first. In both cases the node
// takes no further part in the protocol; Close still has to be called.
func (m *Memberlist) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.core.leave(time.Now())
	m.mu.Unlock()
	m.wakeUp()
	ctx, cancel := context.WithTimeout(ctx, m.cfg.LeaveTimeout)
	defer cancel()
	ticker := time.NewTicker(m.cfg.GossipInterval / 4)
	defer ticker.Stop()
	for {
		if m.leaveNoticeSent() {
			break
		}
		select {
		case <-ctx.Done():
			m.depart()
			return errors.Wrap(ctx.Err(), "membership: send the leave notice")
		case <-ticker.C:
		}
	}
	m.depart()
	return nil
}

func (m *Memberlist) leaveNoticeSent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.leaveNoticeSent() && len(m.core.out.sends) == 0
}

func (m *Memberlist) depart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.markDeparted()
}

// Stats returns the counters since the start.
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

// wakeUp makes run tick without waiting for its timer.
func (m *Memberlist) wakeUp() {
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
		case <-m.runCtx.Done():
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

// tick runs all due actions and returns the time until the next one.
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
	if len(m.core.queue.transmissions) > 0 {
		m.wakeUp()
	}
}

// flush carries out the collected effects of the state machine.
func (m *Memberlist) flush() {
	m.mu.Lock()
	out := m.core.takeEffects()
	m.mu.Unlock()
	collectedAt := time.Now()
	m.dispatch.add(out.events, out.revisions)
	for _, p := range out.sends {
		// After a pause of the process in this loop the remaining packets are outdated
		// and are dropped.
		if time.Since(collectedAt) < m.cfg.PauseThreshold {
			m.send(p)
		}
	}
	for _, target := range out.syncs {
		m.group.Go(func() { m.synchronise(target) })
	}
	if out.replaced != nil {
		m.cfg.Logger.Error().Str("id", m.cfg.ID).Uint64("incarnation", out.replaced.Incarnation).
			Msg("another process with a higher incarnation uses the id of this node")
		if m.cfg.OnReplaced != nil {
			m.cfg.OnReplaced(*out.replaced)
		}
	}
}

func (m *Memberlist) send(p outboundPacket) {
	payload, err := proto.Marshal(p.packet)
	if err != nil {
		return
	}
	// An unreachable address shows as a missing ack.
	_ = m.transport.Send(p.to, payload)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.PacketsSent++
	m.stats.BytesSent += uint64(len(payload))
}
